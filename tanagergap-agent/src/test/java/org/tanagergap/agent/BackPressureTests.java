package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.streams.ReadStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.tanagergap.agent.attempt.ModelAttempt;
import org.tanagergap.agent.engine.EngineEvent;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Guards against an agent that buffers responses in memory because a slow entry does not read them.
 */
class BackPressureTests {

    /** 64 MB in total; the buffers of four sockets on loopback hold less than half of it. */
    private static final int TOKENS = 64_000;

    private static final String TEXT = "t".repeat(1_000);

    @Test
    void theEngineStreamIsPausedWhileTheEntryReadsNothing() {
        NetworkFixture fixture = new NetworkFixture();
        AtomicLong sent = new AtomicLong();
        AtomicLong received = new AtomicLong();
        HttpServer engine = fixture.mVertx.createHttpServer();
        engine.requestHandler(request -> respond(request, sent, received));
        NetworkFixture.await(engine.listen(0, "127.0.0.1"));
        fixture.startAgent(UpstreamKind.MODEL, engine.actualPort(), Optional.empty());
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(TOKENS);
        Promise<Void> ended = Promise.promise();
        ReadStream<RunEvent> stream =
                NetworkFixture.await(
                        fixture.mClient
                                .run(request.build())
                                .onSuccess(
                                        events -> {
                                            events.handler(event -> count(event, received));
                                            events.exceptionHandler(ended::tryFail);
                                            events.endHandler(ignored -> ended.tryComplete());
                                            events.pause();
                                        }));
        fixture.awaitTrue(() -> sent.get() > 0 && isStable(fixture, sent));
        assertThat(sent.get()).isLessThan(TOKENS / 2);
        stream.resume();
        NetworkFixture.await(ended.future());
        assertThat(received.get()).isEqualTo(TOKENS);
        fixture.awaitTrue(() -> fixture.status().getReservedTokens() == 0);
        fixture.close();
    }

    @Test
    void aFullSinkStopsDemandAndIsNotCountedAsAnEngineStall() {
        FakeEngine engine = new FakeEngine();
        AgentFixture fixture = AgentFixture.ofEngine(engine);
        RecordingSink sink = new RecordingSink();
        fixture.mAgent.rpcHandler().run(AgentFixture.completion("a.1").build(), sink);
        // Without this run, reconciliation with the engine's list of runs ends the attempt.
        engine.mRuns.add(new EngineRun(new AttemptId("a.1"), 110));
        var events = engine.mStreams.get("a.1");
        sink.mFull = true;
        long initialDemand = events.requested();
        for (int i = 0; i < initialDemand; i++) {
            events.emit(new EngineEvent.Token("a.1", i, "t"));
        }
        assertThat(events.requested()).isEqualTo(0);
        fixture.advance(3 * ModelAttempt.STALL_TIMEOUT.toMillis());
        assertThat(sink.failure()).isEmpty();
        sink.mFull = false;
        sink.mOnDrain.run();
        assertThat(events.requested()).isEqualTo(initialDemand);
        fixture.advance(ModelAttempt.STALL_TIMEOUT.toMillis() + 1);
        assertThat(sink.last().getFailed().getMessage()).contains("no token in time");
    }

    private static boolean isStable(NetworkFixture fixture, AtomicLong sent) {
        long before = sent.get();
        NetworkFixture.await(fixture.mVertx.timer(500, TimeUnit.MILLISECONDS).mapEmpty());
        return sent.get() == before;
    }

    private static void count(RunEvent event, AtomicLong received) {
        if (event.hasToken()) {
            received.incrementAndGet();
        }
    }

    private static void respond(HttpServerRequest request, AtomicLong sent, AtomicLong received) {
        switch (request.path()) {
            case "/v1/completions" ->
                    request.body()
                            .onSuccess(
                                    body -> {
                                        String id = body.toJsonObject().getString("request_id");
                                        send(request.response().setChunked(true), id, sent);
                                    });
            case "/v1/runs" ->
                    request.response()
                            .end(new JsonObject().put("runs", runs(sent, received)).toString());
            case "/load" ->
                    request.response()
                            .end(new JsonObject().put("memory_tokens_total", 400_000).toString());
            case "/cache/events" -> request.response().setChunked(true).writeHead();
            default -> request.response().end();
        }
    }

    /** Lists the run until its last token has arrived; the agent ends a run that is not listed. */
    private static JsonArray runs(AtomicLong sent, AtomicLong received) {
        JsonArray runs = new JsonArray();
        if (sent.get() > 0 && received.get() < TOKENS) {
            runs.add(new JsonObject().put("request_id", "a.1").put("memory_tokens", TOKENS));
        }
        return runs;
    }

    /**
     * Writes like an engine that respects back-pressure, so that the number of sent tokens shows
     * whether the agent applies it.
     */
    private static void send(HttpServerResponse response, String id, AtomicLong sent) {
        while (sent.get() < TOKENS && !response.writeQueueFull()) {
            JsonObject token = new JsonObject().put("request_id", id).put("text", TEXT);
            response.write("data: " + token.put("index", sent.getAndIncrement()) + "\n\n");
        }
        if (sent.get() < TOKENS) {
            response.drainHandler(ignored -> send(response, id, sent));
            return;
        }
        JsonObject usage = new JsonObject().put("completion_tokens", TOKENS);
        JsonObject last = new JsonObject().put("request_id", id).put("finish_reason", "length");
        response.end("data: " + last.put("usage", usage) + "\n\ndata: [DONE]\n\n");
    }
}
