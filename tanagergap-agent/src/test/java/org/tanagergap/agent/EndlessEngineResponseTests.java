package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.agent.engine.HttpModelEngine;
import org.tanagergap.agent.engine.SegmentPrefill;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;

/** Guards the agent's memory against an engine that sends bytes until its caller closes. */
final class EndlessEngineResponseTests {

    private static final String FILLER = "x".repeat(32_768);

    /** Bytes of one response, those in the buffers of the connection included. */
    private static final long MAX_BYTES = 16L << 20;

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final AtomicLong mBytes = new AtomicLong();
    private final CountDownLatch mClosed = new CountDownLatch(1);
    private volatile String mHead = "";
    private RawUpstream mUpstream;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new RawUpstream(this::connected);
    }

    @AfterEach
    void close() throws Exception {
        mUpstream.close();
    }

    private void connected(NetSocket socket) {
        socket.closeHandler(ignored -> mClosed.countDown());
        socket.handler(
                ignored -> {
                    socket.handler(more -> {});
                    socket.write(mHead);
                    fill(socket);
                });
    }

    private void fill(NetSocket socket) {
        while (!socket.writeQueueFull() && mClosed.getCount() > 0) {
            mBytes.addAndGet(FILLER.length());
            socket.write(FILLER);
        }
        socket.drainHandler(ignored -> fill(socket));
    }

    /** The body of a response that is not a stream grew until the agent's memory was full. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Failed"})
    void aSegmentPrefillFailsAndItsConnectionIsClosed(String status) throws Exception {
        mHead = "HTTP/1.1 " + status + "\r\n\r\n";
        HttpModelEngine engine = new HttpModelEngine(mUpstream.vertx(), mUpstream.url());
        SegmentPrefill prefill = new SegmentPrefill(new AttemptId("a.1"), "m1", "p", List.of(), "");

        assertThrows(RequestFailure.class, () -> engine.prefill(prefill).await().atMost(TIMEOUT));

        assertThat(mClosed.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(mBytes.get()).isLessThan(MAX_BYTES);
    }
}
