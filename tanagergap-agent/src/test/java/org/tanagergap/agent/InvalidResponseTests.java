package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.agent.engine.HttpModelEngine;
import org.tanagergap.agent.engine.SegmentPrefill;
import org.tanagergap.agent.plain.HttpPlainUpstream;
import org.tanagergap.agent.plain.PlainCall;
import org.tanagergap.agent.plain.PlainServiceResponse;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.memory.SharedMemoryLimit;

/**
 * Guards calls of an agent against statuses that are none and against partial responses that are
 * taken for complete while a long request is still being sent.
 */
final class InvalidResponseTests {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int BODY_BYTES = 8 << 20;
    private static final String UNFRAMED =
            "HTTP/1.1 200 OK\r\n\r\n{\"handle\":\"kv-1\",\"bytes\":1}";

    private Consumer<NetSocket> mScript = socket -> {};
    private RawUpstream mUpstream;

    /** A call whose request is as long as the given text. */
    private interface Call {
        Uni<?> start(InvalidResponseTests tests, String text);
    }

    @BeforeEach
    void start() throws Exception {
        mUpstream = new RawUpstream(this::connected);
    }

    @AfterEach
    void close() throws Exception {
        mUpstream.close();
    }

    /** Runs the script on the first bytes of the request, and reads no further. */
    private void connected(NetSocket socket) {
        AtomicBoolean started = new AtomicBoolean();
        socket.handler(
                ignored -> {
                    socket.pause();
                    if (started.compareAndSet(false, true)) {
                        mScript.accept(socket);
                    }
                });
    }

    private Uni<PlainServiceResponse> plain(String text) {
        PlainCall call =
                new PlainCall(
                        new AttemptId("a.1"),
                        "POST",
                        "/orders",
                        List.of(),
                        ByteString.copyFromUtf8(text),
                        "key-1",
                        "");
        return new HttpPlainUpstream(
                        mUpstream.vertx(), mUpstream.url(), 2, SharedMemoryLimit.ofHeap())
                .send(call);
    }

    private Uni<?> prefill(String text) {
        return new HttpModelEngine(mUpstream.vertx(), mUpstream.url())
                .prefill(new SegmentPrefill(new AttemptId("a.2"), "m1", text, List.of(), ""));
    }

    private Uni<?> cacheEvents(String text) {
        return new HttpModelEngine(mUpstream.vertx(), mUpstream.url())
                .cacheEvents()
                .collect()
                .asList();
    }

    private void assertUnknown(Uni<?> call) {
        RequestFailure failure =
                assertThrows(RequestFailure.class, () -> call.await().atMost(TIMEOUT));
        assertThat(failure.execution()).isEqualTo(Execution.UNKNOWN);
    }

    private static Stream<Arguments> statuses() {
        Call plain = InvalidResponseTests::plain;
        Call prefill = InvalidResponseTests::prefill;
        Call cacheEvents = InvalidResponseTests::cacheEvents;
        return Stream.of("000", "099", "20", "2000", "600", "999", "0200")
                .flatMap(
                        status ->
                                Stream.of(plain, prefill, cacheEvents)
                                        .map(call -> Arguments.of(status, call)));
    }

    @ParameterizedTest
    @MethodSource("statuses")
    void anInvalidStatusIsAFailure(String status, Call call) {
        mScript =
                socket ->
                        socket.end(
                                Buffer.buffer(
                                        UNFRAMED.replace(
                                                "200 OK\r\n",
                                                status + " S\r\nContent-Length: 2\r\n")));

        assertUnknown(call.start(this, "lids"));
    }

    /** A status below 300 means that the engine has cancelled the run. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "20"})
    void aCancellationWithAnInvalidStatusIsAFailure(String status) {
        mScript =
                socket ->
                        socket.end(
                                Buffer.buffer(
                                        "HTTP/1.1 " + status + " S\r\nContent-Length: 0\r\n\r\n"));
        HttpModelEngine engine = new HttpModelEngine(mUpstream.vertx(), mUpstream.url());

        assertThrows(
                Exception.class, () -> engine.cancel(new AttemptId("a.1")).await().atMost(TIMEOUT));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 60})
    void aResponseWithoutLengthIsIncompleteWhenItsConnectionIsResetDuringTheUpload(long millis) {
        mScript =
                socket -> {
                    socket.write(UNFRAMED);
                    if (millis == 0) {
                        socket.close();
                    } else {
                        mUpstream.vertx().setTimer(millis, ignored -> socket.close());
                    }
                };
        String text = "x".repeat(BODY_BYTES);

        assertUnknown(plain(text));
        assertUnknown(prefill(text));
    }

    @Test
    void aResponseWithoutLengthIsCompleteWhenItEndsAfterTheRequest() {
        mScript = socket -> socket.end(Buffer.buffer(UNFRAMED));

        assertThat(plain("lids").await().atMost(TIMEOUT).status()).isEqualTo(200);
    }

    @Test
    void anInformationalResponseDoesNotEndTheCall() {
        mScript = socket -> socket.end(Buffer.buffer("HTTP/1.1 102 Processing\r\n\r\n" + UNFRAMED));

        assertThat(plain("lids").await().atMost(TIMEOUT).status()).isEqualTo(200);
    }
}
