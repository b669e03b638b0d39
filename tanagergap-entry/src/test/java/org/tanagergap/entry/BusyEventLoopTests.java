package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.ResponseHead;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Guards calls that arrive while the event loop of an entry handles others: a timer that falls due
 * in this time runs before they are read.
 */
final class BusyEventLoopTests {

    private static final long BUSY_MILLIS = 700;
    private static final int SOCKET_TIMEOUT_MILLIS = 5000;

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final EntryHarness mHarness = new EntryHarness(mVertx);
    private final CountDownLatch mBusy = new CountDownLatch(1);
    private NetServer mBlocker;
    private Socket mCaller;

    @BeforeEach
    void start() throws Exception {
        mHarness.agent("runner-1");
        mHarness.agent("orders-1").mScript = BusyEventLoopTests::runOrder;
        mHarness.start();
        mBlocker =
                mVertx.createNetServer()
                        .connectHandler(socket -> socket.handler(ignored -> block()))
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS);
        mCaller = new Socket("127.0.0.1", mHarness.mEntry.callerPort());
        mCaller.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        TimeUnit.MILLISECONDS.sleep(100);
    }

    @AfterEach
    void close() throws Exception {
        mCaller.close();
        mHarness.close();
    }

    private static void runOrder(RunRequest request, FakeAgent.Stream stream) {
        stream.send(stream.event().setHead(ResponseHead.newBuilder().setStatus(200)));
        stream.send(stream.event().setBody(ByteString.copyFromUtf8("placed")));
        stream.finish(0);
    }

    private void block() {
        mBusy.countDown();
        try {
            TimeUnit.MILLISECONDS.sleep(BUSY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Keeps the event loop busy from within its reads. */
    private void beginBusyPass() throws Exception {
        Socket socket = new Socket("127.0.0.1", mBlocker.actualPort());
        socket.getOutputStream().write(1);
        assertThat(mBusy.await(5, TimeUnit.SECONDS)).isTrue();
    }

    private void send(String bytes) throws Exception {
        mCaller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head() {
        return "POST /services/orders/place HTTP/1.1\r\nHost: entry\r\nIdempotency-Key: key-1\r\n"
                + "Content-Length: 2\r\nAuthorization: Bearer "
                + EntryHarness.KEY
                + "\r\n\r\n";
    }

    private String statusLine() throws Exception {
        byte[] start = mCaller.getInputStream().readNBytes("HTTP/1.1 200".length());
        return new String(start, StandardCharsets.ISO_8859_1);
    }

    /** The time allowed for the body ended in the same pass, and the call was refused with 408. */
    @Test
    void aBodyThatArrivesInTimeIsAccepted() throws Exception {
        send(head() + "{");
        TimeUnit.MILLISECONDS.sleep(100);

        beginBusyPass();
        send("}");

        assertThat(statusLine()).isEqualTo("HTTP/1.1 200");
    }

    /** The call was read after the close had begun, and the server stopped more than 10 s later. */
    @Test
    void aCallThatArrivesBeforeTheServerClosesIsRefusedAndDoesNotDelayTheStop() throws Exception {
        beginBusyPass();
        send(head() + "{}");
        CompletableFuture<Void> stopped = mHarness.mEntry.stop();

        assertThat(statusLine()).isEqualTo("HTTP/1.1 503");
        stopped.get(10, TimeUnit.SECONDS);
    }
}
