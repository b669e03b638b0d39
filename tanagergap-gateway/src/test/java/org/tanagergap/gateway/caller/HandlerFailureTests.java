package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.http.HttpClosedException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.configuration.RouteKind;

/** Guards callers against a request whose handler fails and that is never answered. */
final class HandlerFailureTests {

    private final AtomicInteger mDisconnected = new AtomicInteger();
    private CallerServerHarness mHarness;

    @AfterEach
    void close() throws Exception {
        mHarness.close();
    }

    private static void overflow() {
        throw new StackOverflowError();
    }

    private void start(Runnable parsing, CallerHandler handler) throws Exception {
        mHarness = new CallerServerHarness(RouteKind.IDEMPOTENT, parsing, handler);
    }

    @Test
    void aRequestWhoseHandlerFailsIsAnsweredAndStopsBeingForwarded() throws Exception {
        start(
                () -> {},
                (exchange, request) -> {
                    exchange.onDisconnect(mDisconnected::incrementAndGet);
                    overflow();
                });

        assertThat(mHarness.status()).isEqualTo(502);
        assertThat(mDisconnected.get()).isEqualTo(1);
        assertThat(mHarness.mServer.requestsInFlight()).isEqualTo(0);
    }

    @Test
    void aRequestWhoseHeadersCannotBeParsedDoesNotWaitForAResponse() throws Exception {
        start(HandlerFailureTests::overflow, (exchange, request) -> exchange.abort());

        Throwable failure = assertThrows(ExecutionException.class, mHarness::status).getCause();

        assertThat(failure).isInstanceOf(HttpClosedException.class);
        assertThat(mHarness.mServer.requestsInFlight()).isEqualTo(0);
    }
}
