package org.tanagergap.agent.engine;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.AttemptId;

/** Guards against a report without an end, after which the agent would poll no more. */
class EndlessReportTests {

    private final Vertx mVertx = Vertx.vertx();
    private HttpModelEngine mEngine;

    @BeforeEach
    void start() {
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    request.response().setChunked(true).write("{");
                                    mVertx.setPeriodic(50, i -> request.response().write(" "));
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        mEngine = new HttpModelEngine(mVertx, "http://127.0.0.1:" + server.actualPort());
    }

    @AfterEach
    void close() {
        mVertx.close().await();
    }

    private static Throwable failure(Uni<?> call) throws Exception {
        return call.subscribeAsCompletionStage()
                .handle((result, thrown) -> thrown)
                .get(10, TimeUnit.SECONDS);
    }

    @Test
    void aLoadReportWithoutAnEndFailsThePoll() throws Exception {
        assertThat(failure(mEngine.load())).isNotNull();
    }

    @Test
    void aListOfRunsWithoutAnEndFailsTheComparison() throws Exception {
        assertThat(failure(mEngine.runs())).isNotNull();
    }

    /** The comparison waits for the cancellations of orphaned runs. */
    @Test
    void aResponseWithoutAnEndFailsTheCancellation() throws Exception {
        assertThat(failure(mEngine.cancel(new AttemptId("a.1")))).isNotNull();
        assertThat(failure(mEngine.releaseSegment("kv-1"))).isNotNull();
    }
}
