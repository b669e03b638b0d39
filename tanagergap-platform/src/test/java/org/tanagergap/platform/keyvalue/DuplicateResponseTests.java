package org.tanagergap.platform.keyvalue;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.runtime.settings.HostPort;

/** Guards a compare-and-swap against the response to another call. */
final class DuplicateResponseTests {

    private static final String SUCCEEDED = response("{\"succeeded\":true}");
    private static final String FAILED = response("{}");
    private static final Transaction CREATE =
            new Transaction(List.of(new Condition.Absent("/a")), List.of(new Write.Put("/a", "1")));

    private final Vertx mVertx = Vertx.vertx();
    private final List<NetSocket> mCalls = new ArrayList<>();
    private volatile BiConsumer<Integer, NetSocket> mScript;
    private HttpKeyValueStore mStore;

    @BeforeEach
    void start() throws Exception {
        NetServer server =
                mVertx.createNetServer()
                        .connectHandler(socket -> socket.handler(bytes -> received(bytes, socket)))
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS);
        HostPort address = new HostPort("127.0.0.1", server.actualPort());
        mStore =
                new HttpKeyValueStore(
                        mVertx, address, Duration.ofMillis(400), new MetricRegistry());
    }

    @AfterEach
    void close() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** The short calls of these tests arrive in one piece. */
    private void received(Buffer bytes, NetSocket socket) {
        if (bytes.toString().startsWith("POST ")) {
            mCalls.add(socket);
            mScript.accept(mCalls.size(), socket);
        }
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private boolean commit() throws Exception {
        return mStore.commit(CREATE).get(10, TimeUnit.SECONDS).succeeded();
    }

    @Test
    void aSecondResponseToAnEarlierCallIsNotTakenForThatOfALaterOne() throws Exception {
        mScript =
                (call, socket) -> {
                    boolean kept = call > 1 && socket == mCalls.get(0);
                    socket.write(kept ? SUCCEEDED + FAILED : call > 1 ? FAILED : SUCCEEDED);
                };

        assertThat(commit()).isTrue();
        // A kept connection returns to the pool only after the response was delivered.
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(commit()).isFalse();
    }

    @Test
    void aSecondResponseRightAfterTheFirstIsDiscarded() throws Exception {
        mScript = (call, socket) -> socket.write(call > 1 ? FAILED : SUCCEEDED + SUCCEEDED);

        assertThat(commit()).isTrue();
        assertThat(commit()).isFalse();
    }

    @Test
    void aResponseAfterTheTimeoutIsNotTakenForThatOfALaterCall() throws Exception {
        mScript =
                (call, socket) -> {
                    if (call > 1) {
                        mCalls.get(0).write(SUCCEEDED);
                        socket.write(FAILED);
                    }
                };

        assertThrows(ExecutionException.class, this::commit);
        assertThat(commit()).isFalse();
    }
}
