package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.agent.engine.HttpModelEngine;
import org.tanagergap.agent.engine.SegmentPrefill;
import org.tanagergap.agent.plain.HttpPlainUpstream;
import org.tanagergap.agent.plain.PlainCall;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.memory.SharedMemoryLimit;

/** Guards calls of an agent against a response that is cut in its head and taken for complete. */
final class TruncatedHeadTests {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private volatile String mResponse = "";
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
        socket.handler(ignored -> socket.end(Buffer.buffer(mResponse)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP",
                "HTTP/1.1 200",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2",
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r"
            })
    void aResponseThatEndsInItsHeadIsAFailure(String response) {
        mResponse = response;
        PlainCall call =
                new PlainCall(
                        new AttemptId("a.1"),
                        "POST",
                        "/orders",
                        List.of(),
                        ByteString.copyFromUtf8("lids"),
                        "key-1",
                        "");
        SegmentPrefill prefill = new SegmentPrefill(new AttemptId("a.2"), "m1", "p", List.of(), "");

        RequestFailure ofCall =
                assertThrows(
                        RequestFailure.class,
                        () ->
                                new HttpPlainUpstream(
                                                mUpstream.vertx(),
                                                mUpstream.url(),
                                                2,
                                                SharedMemoryLimit.ofHeap())
                                        .send(call)
                                        .await()
                                        .atMost(TIMEOUT));
        RequestFailure ofPrefill =
                assertThrows(
                        RequestFailure.class,
                        () ->
                                new HttpModelEngine(mUpstream.vertx(), mUpstream.url())
                                        .prefill(prefill)
                                        .await()
                                        .atMost(TIMEOUT));

        assertThat(ofCall.execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(ofPrefill.execution()).isEqualTo(Execution.UNKNOWN);
    }
}
