package org.tanagergap.console;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.document.NewKey;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;
import org.tanagergap.state.configuration.KeyValueConfigurationStore;

/** Guards against a malformed document that an operator cannot replace with the console. */
class MalformedDocumentTests {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final String NESTED = "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000);

    private final Vertx mVertx = Vertx.vertx();
    private final NewKey mOperator = KeyHashing.create("op");
    private HttpKeyValueStore mValues;
    private ConsoleService mConsole;
    private String mCookie = "";

    @BeforeEach
    void startConsole() {
        VertxRuntimeClock clock = new VertxRuntimeClock(mVertx);
        KeyValueServer server =
                new KeyValueServer(mVertx, ANY_PORT, KeyValueLimits.defaults(), clock);
        server.start().join();
        MetricRegistry metrics = new MetricRegistry();
        HostPort address = new HostPort("127.0.0.1", server.port());
        mValues = new HttpKeyValueStore(mVertx, address, Duration.ofSeconds(2), metrics);
        ConsoleSettings settings =
                new ConsoleSettings(
                        "console",
                        ANY_PORT,
                        List.of(address),
                        Optional.empty(),
                        false,
                        new OperatorKeys(List.of(mOperator.definition())));
        mConsole =
                new ConsoleService(
                        new ProgramContext(
                                mVertx,
                                clock,
                                metrics,
                                new Tracing("console", TraceOutput.NONE, Optional.empty()),
                                ANY_PORT),
                        settings,
                        new KeyValueConfigurationStore(mValues, clock));
        mConsole.start().join();
        HttpResponse<Buffer> session =
                call(
                        HttpMethod.POST,
                        "/api/session",
                        new JsonObject().put("key", mOperator.text()).encode());
        mCookie = session.getHeader("Set-Cookie").split(";")[0];
    }

    @AfterEach
    void stopConsole() {
        mConsole.stop().join();
        mVertx.close().await();
    }

    private HttpResponse<Buffer> call(HttpMethod method, String path, String body) {
        return WebClient.create(mVertx)
                .request(method, mConsole.port(), "127.0.0.1", path)
                .putHeader("Cookie", mCookie)
                .putHeader("Content-Type", "application/json")
                .timeout(TimeUnit.SECONDS.toMillis(10))
                .sendBuffer(Buffer.buffer(body))
                .await();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "7", "[]", "NESTED"})
    void aMalformedStoredDocumentIsReportedAndCanBeReplaced(String stored) throws Exception {
        String text = stored.equals("NESTED") ? NESTED : stored;
        mValues.commit(
                        new Transaction(
                                List.of(),
                                List.of(
                                        new Write.Put(
                                                "/tanagergap/configuration/current", "3\n" + text),
                                        new Write.Put("/tanagergap/configuration/version", "3"))))
                .join();

        HttpResponse<Buffer> shown = call(HttpMethod.GET, "/api/configuration", "");
        assertThat(shown.statusCode()).isEqualTo(200);
        assertThat(shown.bodyAsJsonObject().getLong("version")).isEqualTo(3);
        assertThat(shown.bodyAsJsonObject().getBoolean("malformed")).isTrue();
        String document = Files.readString(Path.of("../examples/local.json"));
        HttpResponse<Buffer> conflict = submit(document, "2");
        assertThat(conflict.statusCode()).isEqualTo(409);
        assertThat(submit(document, "3").bodyAsJsonObject().getString("result"))
                .isEqualTo("accepted");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "7", "[]", "NESTED"})
    void aMalformedBodyIsRefusedWithAMessage(String body) {
        String text = body.equals("NESTED") ? NESTED : body;
        for (String path : List.of("/api/submit", "/api/validate", "/api/diff")) {
            assertThat(call(HttpMethod.POST, path, text).statusCode()).isEqualTo(400);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"x\"", "{}"})
    void aMalformedBaseVersionIsRefused(String base) throws Exception {
        String document = Files.readString(Path.of("../examples/local.json"));
        assertThat(submit(document, base).statusCode()).isEqualTo(400);
    }

    private HttpResponse<Buffer> submit(String document, String base) {
        return call(
                HttpMethod.POST,
                "/api/submit",
                "{\"document\":" + document + ",\"base_version\":" + base + "}");
    }
}
