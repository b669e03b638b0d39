package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.configuration.RouteKind;

/** Guards the requests that arrive while the server for callers is stopping. */
final class CallerServerShutdownTests {

    /** More than the buffers of a connection hold. */
    private static final int LARGE_BODY_BYTES = 24 << 20;

    private static final Duration GRACE = Duration.ofSeconds(8);

    private final LinkedBlockingQueue<CallerExchange> mHeld = new LinkedBlockingQueue<>();
    private CallerServerHarness mHarness;

    @BeforeEach
    void start() throws Exception {
        mHarness =
                new CallerServerHarness(
                        RouteKind.NON_IDEMPOTENT,
                        () -> {},
                        (exchange, request) -> mHeld.add(exchange));
    }

    @AfterEach
    void close() throws Exception {
        mHarness.close();
    }

    private static void sendRequest(Socket socket) throws Exception {
        CallerServerHarness.send(
                socket, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\n{}");
    }

    /** Returns the next request that the server has passed on. */
    private CallerExchange received() throws Exception {
        CallerExchange exchange = mHeld.poll(5, TimeUnit.SECONDS);
        assertThat(exchange).isNotNull();
        return exchange;
    }

    private void respond(CallerExchange exchange, String body) {
        mHarness.mVertx.runOnContext(
                ignored ->
                        exchange.sendResponse(
                                200,
                                MultiMap.caseInsensitiveMultiMap()
                                        .add("Content-Length", Integer.toString(body.length())),
                                Buffer.buffer(body)));
    }

    private void awaitRequestInFlight() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (mHarness.mServer.requestsInFlight() == 0) {
            assertThat(System.nanoTime()).isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Reads until the server closes the connection. */
    private static String readAll(Socket socket) throws Exception {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mHarness.mVertx.runOnContext(
                ignored -> {
                    mHarness.mServer.beginDrain(GRACE);
                    mHarness.mServer.stop().thenAccept(stopped::complete);
                });
        return stopped;
    }

    /**
     * A request that was read after the last response and before the exit of the process was passed
     * on and got no response, because the server counted as stopped while a connection was open.
     */
    @Test
    void theServerIsNotStoppedBeforeItsLastConnectionIsClosed() throws Exception {
        Socket kept = mHarness.connect();
        sendRequest(kept);
        respond(received(), "first");
        byte[] firstByte = new byte[1];
        assertThat(kept.getInputStream().read(firstByte)).isEqualTo(1);

        stop().get(10, TimeUnit.SECONDS);

        assertThat(readAll(kept)).endsWith("first");
        assertThrows(ConnectException.class, mHarness::connect);
    }

    /** The other request ends first, and the server has no other reason to wait. */
    @Test
    void aRequestThatArrivesWhileTheServerStopsGetsItsResponse() throws Exception {
        Socket kept = mHarness.connect();
        Socket other = mHarness.connect();
        sendRequest(other);
        CallerExchange earlier = received();
        CompletableFuture<Void> stopped = stop();
        sendRequest(kept);
        CallerExchange later = received();

        respond(earlier, "earlier");
        assertThat(readAll(other)).endsWith("earlier");
        TimeUnit.MILLISECONDS.sleep(600);
        assertThat(stopped.isDone()).isFalse();
        respond(later, "later");

        assertThat(readAll(kept)).endsWith("later");
        stopped.get(10, TimeUnit.SECONDS);
    }

    /** The body arrives after the server has begun to stop. */
    @Test
    void aRequestOfWhichOnlyTheHeadHasArrivedGetsItsResponse() throws Exception {
        Socket slow = mHarness.connect();
        CallerServerHarness.send(
                slow, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\n");
        awaitRequestInFlight();
        CompletableFuture<Void> stopped = stop();
        TimeUnit.MILLISECONDS.sleep(600);

        assertThat(stopped.isDone()).isFalse();
        CallerServerHarness.send(slow, "{}");
        respond(received(), "late");

        assertThat(readAll(slow)).endsWith("late");
        stopped.get(10, TimeUnit.SECONDS);
    }

    /** Megabytes wait in the process while the caller reads slowly. */
    @Test
    void aResponseThatIsNotWrittenYetIsNotBrokenOff() throws Exception {
        String body = "x".repeat(LARGE_BODY_BYTES);
        Socket slow = mHarness.connect();
        sendRequest(slow);
        respond(received(), body);
        TimeUnit.MILLISECONDS.sleep(100);

        CompletableFuture<Void> stopped = stop();
        TimeUnit.MILLISECONDS.sleep(1500);

        assertThat(stopped.isDone()).isFalse();
        assertThat(readAll(slow)).endsWith(body);
        stopped.get(10, TimeUnit.SECONDS);
    }
}
