package org.tanagergap.agent.plain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.protocol.v1.Header;

/**
 * Guards against forwarded hop-by-hop headers, responses that exceed the limit, and a refused
 * connection that is not reported as not run.
 */
class HttpPlainUpstreamTests {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Vertx mVertx = Vertx.vertx();

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void connectionHeadersAreNotForwarded() {
        HttpServer server =
                start(
                        mVertx.createHttpServer()
                                .requestHandler(
                                        r ->
                                                r.response()
                                                        .putHeader("Keep-Alive", "timeout=9")
                                                        .putHeader("X-Answer", "yes")
                                                        .end(
                                                                r.getHeader("Idempotency-Key")
                                                                        + r.getHeader("X-Caller")
                                                                        + r.getHeader("TE"))));
        PlainServiceResponse serviceResponse = send(server.actualPort());
        assertThat(serviceResponse.body().toStringUtf8()).isEqualTo("key-1yesnull");
        assertThat(serviceResponse.headers().stream().map(Header::getName).toList())
                .containsExactly("X-Answer");
    }

    @Test
    void aResponseAboveTheLimitFailsTheCall() {
        HttpServer server =
                start(
                        mVertx.createHttpServer()
                                .requestHandler(
                                        r -> r.response().end(Buffer.buffer(new byte[17 << 20]))));
        RequestFailure failure =
                assertThrows(RequestFailure.class, () -> send(server.actualPort()));
        assertThat(failure.execution()).isEqualTo(Execution.RAN);
    }

    /** A server that was just closed may still accept a connection; a bound port never does. */
    @Test
    void aRefusedConnectionIsNotRun() throws Exception {
        try (Socket bound = new Socket()) {
            bound.bind(new InetSocketAddress("127.0.0.1", 0));
            RequestFailure failure =
                    assertThrows(RequestFailure.class, () -> send(bound.getLocalPort()));
            assertThat(failure.execution()).isEqualTo(Execution.NOT_RUN);
        }
    }

    private static HttpServer start(HttpServer server) {
        return server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    private PlainServiceResponse send(int port) {
        PlainCall call =
                new PlainCall(
                        new AttemptId("a.1"),
                        "POST",
                        "/orders",
                        List.of(header("X-Caller", "yes"), header("TE", "trailers")),
                        ByteString.copyFromUtf8("lids"),
                        "key-1",
                        "");
        return new HttpPlainUpstream(
                        mVertx, "http://127.0.0.1:" + port, 2, SharedMemoryLimit.ofHeap())
                .send(call)
                .await()
                .atMost(TIMEOUT);
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }
}
