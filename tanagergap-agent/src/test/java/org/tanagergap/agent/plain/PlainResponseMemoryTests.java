package org.tanagergap.agent.plain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.agent.RawUpstream;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.memory.SharedMemoryLimit;

/** Guards an agent's memory against several plain responses without end at once. */
final class PlainResponseMemoryTests {

    private static final String FILLER = "x".repeat(32_768);
    private static final int CALLS = 8;

    /** As much as the limit of one response. */
    private static final long MAX_MEMORY = 16L << 20;

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final SharedMemoryLimit mMemory = new SharedMemoryLimit(MAX_MEMORY);
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
        boolean[] closed = new boolean[1];
        socket.closeHandler(ignored -> closed[0] = true);
        socket.handler(
                ignored -> {
                    socket.handler(more -> {});
                    socket.write("HTTP/1.1 200 OK\r\n\r\n");
                    fill(socket, closed);
                });
    }

    private void fill(NetSocket socket, boolean[] closed) {
        if (closed[0]) {
            return;
        }
        socket.write(FILLER).onSuccess(ignored -> fill(socket, closed));
    }

    private CompletableFuture<PlainServiceResponse> send(HttpPlainUpstream upstream, int number) {
        PlainCall call =
                new PlainCall(
                        new AttemptId("a." + number),
                        "POST",
                        "/orders",
                        List.of(),
                        ByteString.EMPTY,
                        "key-" + number,
                        "");
        return upstream.send(call).subscribeAsCompletionStage();
    }

    /** Each response had a limit of its own, of the same size as the memory, and their sum none. */
    @Test
    void responsesWithoutEndAreGivenUpBeforeTheyFillTheMemory() {
        HttpPlainUpstream upstream =
                new HttpPlainUpstream(mUpstream.vertx(), mUpstream.url(), CALLS, mMemory);
        List<CompletableFuture<PlainServiceResponse>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(send(upstream, i).orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        }

        List<String> messages = new ArrayList<>();
        for (CompletableFuture<PlainServiceResponse> call : calls) {
            Throwable failure = assertThrows(CompletionException.class, call::join).getCause();
            assertThat(failure).isInstanceOf(RequestFailure.class);
            messages.add(failure.getMessage());
        }
        assertThat(messages).contains("answers exceed their memory");
        assertThat(mMemory.usedBytes()).isEqualTo(0);
    }
}
