package org.tanagergap.entry.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.protocol.v1.StatusRequest;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.tls.TlsReloader;

/** Guards against an address that throws, or never ends a call, instead of failing it. */
class MalformedAddressTests {

    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void close() {
        mVertx.close().await();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                ":80",
                "x",
                "x y:80",
                "127.0.0.1:",
                "127.0.0.1:0",
                "127.0.0.1:-1",
                "127.0.0.1:70000",
                "127.0.0.1:9999999999999999999999",
                "127.0.0.1:1e3",
                "\u0000:80",
                "[:80"
            })
    void aCallToAMalformedAddressFails(String address) throws Exception {
        AgentClients clients =
                new AgentClients(
                        mVertx,
                        new TlsReloader(mVertx, new VertxRuntimeClock(mVertx), Optional.empty()));
        for (Future<?> call :
                new Future<?>[] {
                    clients.connectForRun(address),
                    clients.agent(address)
                            .compose(agent -> agent.status(StatusRequest.getDefaultInstance()))
                }) {
            Throwable failure =
                    call.toCompletionStage()
                            .toCompletableFuture()
                            .handle((result, thrown) -> thrown)
                            .get(10, TimeUnit.SECONDS);
            assertThat(failure).isNotNull();
        }
    }
}
