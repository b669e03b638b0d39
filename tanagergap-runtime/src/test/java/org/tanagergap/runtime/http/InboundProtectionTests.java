package org.tanagergap.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.util.concurrent.Uninterruptibles;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.memory.ConnectionAdmission;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.runtime.metrics.MetricName;
import org.tanagergap.runtime.time.VertxRuntimeClock;

/** Guards clients within the limits against the protection from those beyond them. */
final class InboundProtectionTests {

    private static final int MAX_CONNECTIONS = 2;

    /** Connections that may be open until the event loop closes those beyond the limit. */
    private static final int MAX_ACCEPTED = MAX_CONNECTIONS + 16;

    private static final long MEMORY = 48 << 20;
    private static final String GET = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n";

    private final AcceptedConnections mAccepted = new AcceptedConnections();
    private final Vertx mVertx =
            Vertx.builder()
                    .with(new VertxOptions().setEventLoopPoolSize(1))
                    .withTransport(mAccepted.transport())
                    .build();
    private final SharedMemoryLimit mMemory = new SharedMemoryLimit(MEMORY);
    private final HeadAdmission mHeads = new HeadAdmission(mMemory);
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final LinkedBlockingQueue<HttpServerRequest> mReceived = new LinkedBlockingQueue<>();
    private final List<String> mBodies = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> mDisconnect = new CompletableFuture<>();
    private volatile long mPauseMillis;
    private HttpServer mServer;

    @BeforeEach
    void start() throws Exception {
        InboundProtection protection =
                new InboundProtection(
                        new VertxRuntimeClock(mVertx),
                        mAccepted,
                        new ConnectionAdmission(mMemory, MAX_CONNECTIONS),
                        mHeads,
                        mMetrics);
        InboundLimits limits =
                new InboundLimits(() -> 64 << 10, 22_000, 1024, () -> Duration.ofMillis(300));
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(64 << 10)
                        .setHttp2ClearTextEnabled(false)
                        .setHandle100ContinueAutomatically(true);
        mServer =
                protection
                        .protect(mVertx.createHttpServer(options), limits)
                        .requestHandler(this::received)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private void received(HttpServerRequest request) {
        request.response().closeHandler(ignored -> mDisconnect.complete(null));
        request.bodyHandler(body -> mBodies.add(body.toString()));
        request.response().exceptionHandler(ignored -> {});
        if (mPauseMillis > 0) {
            request.pause();
            mVertx.setTimer(mPauseMillis, ignored -> request.resume());
        }
        mReceived.add(request);
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket("127.0.0.1", mServer.actualPort());
        socket.setSoTimeout(5000);
        return send(socket, text);
    }

    private static Socket send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private HttpServerRequest next() throws Exception {
        return mReceived.poll(5, TimeUnit.SECONDS);
    }

    private static String readAll(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static void closeAfter(HttpServerRequest request, boolean last) {
        if (last) {
            request.connection().close();
        }
    }

    private void answerAll(int requests) throws Exception {
        for (int i = 0; i < requests; i++) {
            HttpServerRequest request = next();
            boolean last = i == requests - 1;
            mVertx.runOnContext(
                    ignored -> {
                        request.response()
                                .end(request.path())
                                .onSuccess(done -> closeAfter(request, last));
                    });
        }
    }

    /** Requests that were parsed ahead filled the memory with responses that nobody read. */
    @Test
    void aPipelinedRequestIsReadAfterTheResponseBeforeIt() throws Exception {
        Socket socket = send(GET.formatted("a") + GET.formatted("b") + GET.formatted("c"));
        HttpServerRequest first = next();

        assertThat(mReceived.poll(200, TimeUnit.MILLISECONDS)).isNull();
        mVertx.runOnContext(ignored -> first.response().end("/a"));
        answerAll(2);
        assertThat(readAll(socket)).containsMatch("(?s)/a.*/b.*/c$");
    }

    @Test
    void requestsWithBodiesAreSeparatedFromThoseThatFollow() throws Exception {
        String body = "x".repeat(50_000);
        String chunk = "c350\r\n" + body + "\r\n0\r\n\r\n";
        Socket socket =
                send(
                        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"
                                + body
                                + "POST /b HTTP/1.1\r\nHost: h\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + chunk
                                + GET.formatted("c"));
        answerAll(3);

        assertThat(readAll(socket)).containsMatch("(?s)/a.*/b.*/c$");
        assertThat(mBodies).containsExactly(body, body, "").inOrder();
    }

    /** Chunks of a body that wait for a later pass of the event loop must all arrive. */
    @Test
    void aBodyInChunksOfAByteIsReceivedAsAWhole() throws Exception {
        String head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        Socket socket = send(head + "1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n" + GET.formatted("b"));
        answerAll(2);

        assertThat(readAll(socket)).containsMatch("(?s)/a.*/b$");
        assertThat(mBodies.get(0)).hasLength(20_000);
    }

    /** A body that waits for memory was read on, and what had arrived of it was kept in parts. */
    @Test
    void aPausedBodyIsPassedOnWhenItIsResumed() throws Exception {
        mPauseMillis = 100;
        String head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        send(head + "1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n");

        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (mBodies.isEmpty() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(mBodies.toString()).hasLength("[]".length() + 20_000);
    }

    /** The parsed fields take 4 MB, and the head is within the limits. */
    @Test
    void aLargeHeadOfShortLinesIsServedWhenThereIsNoOtherLoad() throws Exception {
        Socket socket = send("GET /a HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(15_500) + "\r\n");
        HttpServerRequest request = next();

        assertThat(mHeads.usedBytes()).isGreaterThan(3L << 20);
        mReceived.add(request);
        answerAll(1);
        assertThat(readAll(socket)).endsWith("/a");
    }

    @Test
    void aLargeHeadThatFindsNoMemoryIsRefused() throws Exception {
        mHeads.open().raise(MEMORY / 4);
        Socket socket = send("GET /a HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(15_500) + "\r\n");

        String response = readAll(socket);
        assertThat(response).startsWith("HTTP/1.1 503 ");
        assertThat(response).contains("Retry-After: ");
        assertThat(mReceived).isEmpty();
    }

    @Test
    void aHeadThatDoesNotEndIsRefusedAsNotRun() throws Exception {
        assertThat(readAll(send("GET /a HTTP/1.1\r\nHost:"))).startsWith("HTTP/1.1 408 ");
    }

    /** The timeout of heads must not end a connection that has sent the end of a line too many. */
    @Test
    void anEmptyLineDoesNotStartAHead() throws Exception {
        Socket socket = send("\r\n");
        TimeUnit.MILLISECONDS.sleep(600);
        send(socket, GET.formatted("a"));
        answerAll(1);

        assertThat(readAll(socket)).endsWith("/a");
    }

    /** Held reads would hide that the client has gone, and its request would go on. */
    @Test
    void aDisconnectIsNoticedWhileARequestWaits() throws Exception {
        Socket socket = send(GET.formatted("a"));
        next();
        socket.close();

        mDisconnect.get(5, TimeUnit.SECONDS);
    }

    @Test
    void theConnectionThatIsIdleLongestIsClosedAtTheLimit() throws Exception {
        Socket inUse = send(GET.formatted("a"));
        HttpServerRequest request = next();
        Socket idle = send("");
        TimeUnit.MILLISECONDS.sleep(100);
        Socket third = send("");

        assertThat(readAll(idle)).isEmpty();
        mReceived.add(request);
        answerAll(1);
        assertThat(readAll(inUse)).endsWith("/a");
        send(third, GET.formatted("b"));
        answerAll(1);
        assertThat(readAll(third)).endsWith("/b");
    }

    /** New connections displaced those of entries to an agent, which are idle between calls. */
    @Test
    void anEstablishedConnectionIsClosedAfterNewOnes() throws Exception {
        Socket established = send("");
        for (String path : List.of("a", "b")) {
            send(established, GET.formatted(path));
            HttpServerRequest request = next();
            mVertx.runOnContext(ignored -> request.response().end());
        }
        Socket first = send("");
        Socket second = send("");

        assertThat(readAll(first)).isEmpty();
        send(established, GET.formatted("c"));
        answerAll(1);
        assertThat(readAll(established)).endsWith("/c");
        assertThat(second.isConnected()).isTrue();
    }

    /** New connections were closed for as long as others kept their requests unfinished. */
    @Test
    void theRequestThatIsIncompleteLongestGivesWayToANewConnection() throws Exception {
        Socket first = send("GET /a HTTP/1.1\r\n");
        Socket second = send("GET /b HTTP/1.1\r\n");
        TimeUnit.MILLISECONDS.sleep(50);
        Socket third = send(GET.formatted("c"));
        answerAll(1);

        assertThat(readAll(third)).endsWith("/c");
        assertThat(readAll(first)).isEmpty();
        assertThat(readAll(second)).startsWith("HTTP/1.1 408 ");
    }

    /** New connections closed each other before any of them was read. */
    @Test
    void aNewConnectionHasTheTimeToSendARequest() throws Exception {
        send("GET /a HTTP/1.1\r\n");
        send("GET /b HTTP/1.1\r\n");
        TimeUnit.MILLISECONDS.sleep(50);
        Socket third = send("");
        send("");
        TimeUnit.MILLISECONDS.sleep(50);
        send(third, GET.formatted("c"));
        answerAll(1);

        assertThat(readAll(third)).endsWith("/c");
    }

    /** A burst was accepted without a limit until the event loop saw the first connection. */
    @Test
    void aBurstIsLimitedBeforeTheEventLoopSeesIt() throws Exception {
        CountDownLatch burst = new CountDownLatch(1);
        mVertx.runOnContext(ignored -> Uninterruptibles.awaitUninterruptibly(burst));
        int connections = 3 * MAX_ACCEPTED;
        for (int i = 0; i < connections; i++) {
            send("");
        }

        String name = MetricName.of("inbound_refusals", "reason", "too_many_connections");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (mMetrics.counter(name).getCount() < connections - MAX_ACCEPTED
                && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(mMetrics.counter(name).getCount()).isEqualTo(connections - MAX_ACCEPTED);
        burst.countDown();
        // The event loop closes the surplus first; until then a new connection is not accepted.
        while (mReceived.isEmpty() && System.nanoTime() < end) {
            send(GET.formatted("a"));
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(mReceived).isNotEmpty();
    }
}
