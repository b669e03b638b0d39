package org.tanagergap.console;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.document.NewKey;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.settings.SettingsReader;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;
import org.tanagergap.state.configuration.KeyValueConfigurationStore;

/** Guards against calls without a session, disclosed or lost key hashes and lost edits. */
class ConsoleServiceTests {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private final NewKey mOperator = KeyHashing.create("op");
    private Vertx mVertx;
    private KeyValueServer mKeyValue;
    private KeyValueConfigurationStore mStore;
    private ConsoleService mConsole;
    private WebClient mClient;
    private String mCookie = "";

    @BeforeEach
    void startConsole() {
        mVertx = Vertx.vertx();
        VertxRuntimeClock clock = new VertxRuntimeClock(mVertx);
        mKeyValue = new KeyValueServer(mVertx, ANY_PORT, KeyValueLimits.defaults(), clock);
        mKeyValue.start().join();
        MetricRegistry metrics = new MetricRegistry();
        mStore =
                new KeyValueConfigurationStore(
                        new HttpKeyValueStore(
                                mVertx,
                                new HostPort("127.0.0.1", mKeyValue.port()),
                                Duration.ofSeconds(2),
                                metrics),
                        clock);
        Tracing tracing = new Tracing("console", TraceOutput.NONE, Optional.empty());
        ConsoleSettings settings =
                new ConsoleSettings(
                        "console",
                        ANY_PORT,
                        List.of(new HostPort("127.0.0.1", mKeyValue.port())),
                        Optional.empty(),
                        false,
                        new OperatorKeys(List.of(mOperator.definition())));
        mConsole =
                new ConsoleService(
                        new ProgramContext(mVertx, clock, metrics, tracing, ANY_PORT),
                        settings,
                        mStore);
        mConsole.start().join();
        mClient = WebClient.create(mVertx);
    }

    @AfterEach
    void stopConsole() {
        mConsole.stop().join();
        mVertx.close().await();
    }

    private HttpResponse<Buffer> call(HttpMethod method, String path, JsonObject body) {
        HttpRequest<Buffer> request =
                mClient.request(method, mConsole.port(), "127.0.0.1", path)
                        .putHeader("Cookie", mCookie);
        return (body == null ? request.send() : request.sendJsonObject(body)).await();
    }

    private HttpResponse<Buffer> post(String path, JsonObject body) {
        return call(HttpMethod.POST, path, body);
    }

    private HttpResponse<Buffer> get(String path) {
        return call(HttpMethod.GET, path, null);
    }

    private String signIn() {
        HttpResponse<Buffer> response =
                post("/api/session", new JsonObject().put("key", mOperator.text()));
        assertThat(response.statusCode()).isEqualTo(200);
        String cookie = response.getHeader("Set-Cookie");
        mCookie = cookie.split(";")[0];
        return cookie;
    }

    private static JsonObject localDocument() {
        try {
            return new JsonObject(Files.readString(Path.of("../examples/local.json")));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpResponse<Buffer> submit(JsonObject document, long base) {
        return post(
                "/api/submit",
                new JsonObject().put("document", document).put("base_version", base));
    }

    @Nested
    class Sessions {

        /** Guards against a session that a script on a page or another site can use. */
        @Test
        void useACookieThatScriptsAndOtherSitesCannotUse() {
            String cookie = signIn();
            assertThat(cookie).contains("HTTPOnly");
            assertThat(cookie).contains("SameSite=Strict");
            assertThat(get("/api/session").bodyAsJsonObject().getString("operator"))
                    .isEqualTo("op");
        }

        @Test
        void areRequiredByEveryOtherCall() {
            HttpResponse<Buffer> refused =
                    post("/api/session", new JsonObject().put("key", "op.wrong"));
            assertThat(refused.statusCode()).isEqualTo(401);
            for (String path : List.of("configuration", "status", "session", "outcome/n")) {
                assertThat(get("/api/" + path).statusCode()).isEqualTo(401);
            }
            for (String path : List.of("validate", "diff", "submit", "keys")) {
                assertThat(post("/api/" + path, new JsonObject()).statusCode()).isEqualTo(401);
            }
        }

        @Test
        void endWhenTheOperatorSignsOut() {
            signIn();
            assertThat(call(HttpMethod.DELETE, "/api/session", null).statusCode()).isEqualTo(204);
            assertThat(get("/api/configuration").statusCode()).isEqualTo(401);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "op.secret", "op:00:00"})
        void needAnOperatorKeyAsSaltedHash(String setting) {
            SettingsReader reader = new SettingsReader(Map.of());
            OperatorKeys.read(reader, setting);
            assertThat(reader.findings().toList()).hasSize(1);
            assertThat(reader.findings().toList().toString()).doesNotContain("secret");
        }
    }

    @Nested
    class Documents {

        @BeforeEach
        void openSession() {
            signIn();
        }

        @Test
        void areSubmittedAndShownWithoutSaltsAndHashes() {
            assertThat(submit(localDocument(), 0).bodyAsJsonObject().getLong("version"))
                    .isEqualTo(1);
            String shown = get("/api/configuration").bodyAsString();
            assertThat(shown).contains("demo-one");
            assertThat(shown).doesNotContainMatch("[0-9a-f]{32}");
        }

        /** Forms have no salts and hashes; guards against losing them when a form is saved. */
        @Test
        void keepTheirKeysWhenAFormIsSaved() {
            submit(localDocument(), 0);
            JsonObject document =
                    get("/api/configuration").bodyAsJsonObject().getJsonObject("document");
            document.getJsonArray("ranks").getJsonObject(0).put("floor_percent", 41);
            assertThat(submit(document, 1).statusCode()).isEqualTo(200);
            String stored = mStore.read().join().orElseThrow().document();
            JsonArray workspaces = new JsonObject(stored).getJsonArray("workspaces");
            assertThat(workspaces).isEqualTo(localDocument().getJsonArray("workspaces"));
        }

        @Test
        void inConflictAreRejectedWithTheDifference() {
            submit(localDocument(), 0);
            JsonObject edited = localDocument();
            edited.getJsonArray("workspaces").getJsonObject(0).put("weight", 9);
            HttpResponse<Buffer> response = submit(edited, 0);
            assertThat(response.statusCode()).isEqualTo(409);
            JsonObject body = response.bodyAsJsonObject();
            assertThat(body.getString("result")).isEqualTo("conflict");
            assertThat(body.getJsonArray("changes").getJsonObject(0).getString("subject"))
                    .isEqualTo("workspaces[lidmaker-one].weight");
            assertThat(response.bodyAsString()).doesNotContainMatch("[0-9a-f]{32}");
        }

        @Test
        void areValidatedOnRequestAndOnSubmission() {
            JsonObject broken = localDocument();
            broken.getJsonArray("ranks").getJsonObject(1).put("priority", 0);
            JsonObject body = new JsonObject().put("document", broken);
            JsonObject finding =
                    post("/api/validate", body)
                            .bodyAsJsonObject()
                            .getJsonArray("findings")
                            .getJsonObject(0);
            assertThat(finding.getString("pointer")).isEqualTo("/ranks/1/priority");
            assertThat(submit(broken, 0).statusCode()).isEqualTo(422);
            assertThat(mStore.read().join()).isEqualTo(Optional.empty());
        }

        @Test
        void areComparedWithTheAcceptedOrAGivenOne() {
            submit(localDocument(), 0);
            JsonObject edited = localDocument();
            edited.getJsonArray("upstreams").remove(2);
            JsonObject body = new JsonObject().put("document", localDocument());
            assertThat(post("/api/diff", body).bodyAsJsonObject().getJsonArray("changes"))
                    .isEmpty();
            assertThat(
                            post("/api/diff", body.put("from", edited))
                                    .bodyAsJsonObject()
                                    .getJsonArray("changes"))
                    .hasSize(1);
        }

        @ParameterizedTest
        @CsvSource({"/api/validate,{}", "/api/diff,[1]", "/api/submit,{\"document\": 1}"})
        void thatAreMissingOrNotObjectsAreRejected(String path, String body) {
            HttpResponse<Buffer> response =
                    mClient.post(mConsole.port(), "127.0.0.1", path)
                            .putHeader("Cookie", mCookie)
                            .sendBuffer(Buffer.buffer(body))
                            .await();
            assertThat(response.statusCode()).isEqualTo(400);
        }

        /** A browser queries the outcome if the response to its submission was lost. */
        @Test
        void haveAnOutcomeThatCanBeQueriedByNonce() {
            JsonObject submission =
                    new JsonObject().put("document", localDocument()).put("nonce", "n-1");
            assertThat(post("/api/submit", submission).statusCode()).isEqualTo(200);
            assertThat(get("/api/outcome/n-1").bodyAsJsonObject().getLong("version")).isEqualTo(1);
            assertThat(get("/api/outcome/n-2").statusCode()).isEqualTo(409);
            assertThat(get("/api/outcome/n%20").statusCode()).isEqualTo(400);
            submission.put("nonce", "n 3").put("base_version", 1);
            assertThat(post("/api/submit", submission).statusCode()).isEqualTo(400);
        }

        @Test
        void cannotBeReadDuringAnOutage() {
            mClient.put(mKeyValue.port(), "127.0.0.1", "/faults")
                    .sendJsonObject(new JsonObject().put("outage", true))
                    .await();
            assertThat(get("/api/configuration").statusCode()).isEqualTo(503);
        }
    }

    @Test
    void reportsTheStatusOfEachProcess() {
        signIn();
        JsonObject process =
                get("/api/status").bodyAsJsonObject().getJsonArray("processes").getJsonObject(0);
        assertThat(process.getString("state")).isEqualTo("invalid");
    }

    @Test
    void generatesKeysAndRejectsInvalidKeyIds() {
        signIn();
        JsonObject generated =
                post("/api/keys", new JsonObject().put("id", "k")).bodyAsJsonObject();
        assertThat(generated.getString("key")).startsWith("k.");
        assertThat(post("/api/keys", new JsonObject().put("id", "a.b")).statusCode())
                .isEqualTo(422);
    }

    @Test
    void servesThePagesWithAContentSecurityPolicy() {
        HttpResponse<Buffer> page = get("/");
        assertThat(page.bodyAsString()).contains("console.js");
        assertThat(page.getHeader("Content-Security-Policy")).contains("default-src 'self'");
        for (String name : List.of("console.js", "api.js", "fields.js", "forms.js", "results.js")) {
            assertThat(get("/" + name).statusCode()).isEqualTo(200);
        }
    }
}
