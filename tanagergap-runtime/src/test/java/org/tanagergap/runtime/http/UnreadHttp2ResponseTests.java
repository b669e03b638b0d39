package org.tanagergap.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.decisions.memory.ConnectionAdmission;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.decisions.memory.ResponseAdmission;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.testing.Http2Frames;
import org.tanagergap.testing.Http2Frames.HeaderBlock;

/** Guards new clients against those that do not let the server send its responses. */
final class UnreadHttp2ResponseTests {

    private static final int MAX_CONNECTIONS = 2;
    private static final long MEMORY = 48 << 20;
    private static final long WAIT_SECONDS = 5;
    private static final String BODY = "done";

    private final AcceptedConnections mAccepted = new AcceptedConnections();
    private final Vertx mVertx =
            Vertx.builder()
                    .with(new VertxOptions().setEventLoopPoolSize(1))
                    .withTransport(mAccepted.transport())
                    .build();
    private final BlockingQueue<HttpServerRequest> mReceived = new LinkedBlockingQueue<>();
    private HttpServer mServer;

    @BeforeEach
    void start() throws Exception {
        SharedMemoryLimit memory = new SharedMemoryLimit(MEMORY);
        InboundProtection protection =
                new InboundProtection(
                        new VertxRuntimeClock(mVertx),
                        mAccepted,
                        new ConnectionAdmission(memory, MAX_CONNECTIONS),
                        new HeadAdmission(memory),
                        new MetricRegistry());
        mServer = mVertx.createHttpServer().requestHandler(mReceived::add);
        CallMemory calls =
                new CallMemory(new BodyAdmission(memory), new ResponseAdmission(memory), () -> 0);
        protection.protectCalls(mServer, InboundLimits.INTERNAL, calls);
        mServer.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Sends a complete request on a new connection. */
    private Socket send(Http2Frames frames) throws IOException {
        Socket socket = new Socket("127.0.0.1", mServer.actualPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        frames.request(HeaderBlock.of("POST", "/a")).lastData(new byte[0]);
        socket.getOutputStream().write(frames.bytes());
        return socket;
    }

    private HttpServerRequest next() throws Exception {
        return mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void answerNext() throws Exception {
        HttpServerRequest request = next();
        mVertx.runOnContext(ignored -> request.response().end(BODY));
    }

    /** Returns what the server sends up to the body of a response, or to the end. */
    private static String read(Socket socket) {
        StringBuilder received = new StringBuilder();
        byte[] part = new byte[1024];
        try {
            while (received.indexOf(BODY) < 0) {
                int length = socket.getInputStream().read(part);
                if (length < 0) {
                    break;
                }
                received.append(new String(part, 0, length, StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            received.append(e.getMessage());
        }
        return received.toString();
    }

    /** Connections with unread responses were never closed, and new ones had no place. */
    @Test
    void aConnectionWithAnUnreadResponseGivesWayToANewOne() throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            send(Http2Frames.withoutWindow());
            answerNext();
        }

        Socket third = send(new Http2Frames());
        answerNext();

        assertThat(read(third)).contains(BODY);
    }

    @Test
    void aConnectionWhoseRequestRunsIsNotClosed() throws Exception {
        Socket first = send(new Http2Frames());
        HttpServerRequest running = next();
        send(new Http2Frames());
        next();

        assertThat(read(send(new Http2Frames()))).doesNotContain(BODY);
        mVertx.runOnContext(ignored -> running.response().end(BODY));
        assertThat(read(first)).contains(BODY);
    }
}
