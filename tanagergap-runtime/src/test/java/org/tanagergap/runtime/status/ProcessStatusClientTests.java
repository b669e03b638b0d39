package org.tanagergap.runtime.status;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.runtime.settings.HostPort;

/** Guards against a process status that does not show which process has a problem. */
class ProcessStatusClientTests {

    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void closeVertx() {
        mVertx.close().await();
    }

    /** Guards against a status that shows an operator only the address of a frozen process. */
    @Test
    void aFrozenProcessKeepsTheNameOfItsLastResponse() {
        AtomicBoolean frozen = new AtomicBoolean();
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    if (!frozen.get()) {
                                        request.response()
                                                .end(
                                                        "{\"name\":\"entry-2\",\"program\":\"p\","
                                                                + "\"configuration_version\":3}");
                                    }
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        List<HostPort> address = List.of(new HostPort("127.0.0.1", server.actualPort()));
        // The first request of a JVM took more than 500 ms on a busy machine.
        ProcessStatusClient client = new ProcessStatusClient(mVertx, Duration.ofSeconds(3));
        assertThat(client.read(address).join().get(0).state(3)).isEqualTo(ProcessState.IN_EFFECT);
        frozen.set(true);
        ProcessStatus status = client.read(address).join().get(0);
        assertThat(status.state(3)).isEqualTo(ProcessState.FROZEN);
        assertThat(status.name()).isEqualTo("entry-2");
    }

    @Test
    void aProcessThatRestartsAfterItWasFrozenIsNotReportedAsFrozen() throws Exception {
        AtomicBoolean frozen = new AtomicBoolean(true);
        Set<HttpConnection> frozenConnections = ConcurrentHashMap.newKeySet();
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    if (frozen.get()) {
                                        frozenConnections.add(request.connection());
                                    } else if (!frozenConnections.contains(request.connection())) {
                                        request.response().end("{\"configuration_version\":3}");
                                    }
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        List<HostPort> address = List.of(new HostPort("127.0.0.1", server.actualPort()));
        ProcessStatusClient client = new ProcessStatusClient(mVertx, Duration.ofSeconds(1));
        for (int i = 0; i < 6; i++) {
            assertThat(client.read(address).join().get(0).state(3)).isEqualTo(ProcessState.FROZEN);
        }

        frozen.set(false);

        assertThat(client.read(address).join().get(0).state(3)).isEqualTo(ProcessState.IN_EFFECT);
    }

    /** Guards against a submission that is reported as in effect because of such a number. */
    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"3\"", "NaN"})
    void aVersionThatIsNoWholeNumberIsNotTakenForOneInEffect(String version) {
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.response()
                                                .end("{\"configuration_version\":" + version + "}"))
                        .listen(0, "127.0.0.1")
                        .await();
        List<HostPort> address = List.of(new HostPort("127.0.0.1", server.actualPort()));
        ProcessStatusClient client = new ProcessStatusClient(mVertx, Duration.ofSeconds(3));

        assertThat(client.read(address).join().get(0).state(3)).isEqualTo(ProcessState.INVALID);
    }
}
