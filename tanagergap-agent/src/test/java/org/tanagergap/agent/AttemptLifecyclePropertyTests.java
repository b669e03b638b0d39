package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.agent.engine.EngineEvent;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Runs random sequences of calls, engine events, faults and clock steps. Guards against
 * reservations that are not released, attempts that end twice, wrong tokens, and {@code not_run}
 * for attempts that reached the engine.
 */
class AttemptLifecyclePropertyTests {

    private static final int STEPS = 120;

    @Property(seed = "1201", tries = 300)
    void everyAttemptEndsOnceAndNothingStaysReserved(@ForAll long seed) {
        Random random = new Random(seed);
        FakeEngine engine = new FakeEngine();
        AgentFixture fixture = AgentFixture.ofEngine(engine);
        Map<String, RecordingSink> sinks = new LinkedHashMap<>();
        Map<String, Runnable> closeActions = new LinkedHashMap<>();
        List<String> refused = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            String existing = "a." + random.nextInt(Math.max(1, sinks.size()));
            boolean streaming = engine.mStreams.containsKey(existing);
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> {
                    String id = "a." + sinks.size();
                    RunRequest.Builder request = AgentFixture.completion(id);
                    request.setDeadlineLeftMs(500 + random.nextInt(30_000));
                    RecordingSink sink = new RecordingSink();
                    sinks.put(id, sink);
                    closeActions.put(id, fixture.mAgent.rpcHandler().run(request.build(), sink));
                }
                case 3, 4 ->
                        ifTrue(streaming, () -> nextToken(engine, sinks.get(existing), existing));
                case 5 -> ifTrue(streaming, () -> finish(engine, sinks.get(existing), existing));
                case 6 -> closeActions.getOrDefault(existing, () -> {}).run();
                case 7 -> {
                    boolean beforeFirstToken = streaming && sinks.get(existing).tokens().isEmpty();
                    int kind = random.nextInt(4);
                    if (streaming && !engine.mStreams.get(existing).isCancelled()) {
                        ifTrue(beforeFirstToken && kind == 0, () -> refused.add(existing));
                        fault(engine, existing, kind);
                    }
                }
                case 8 -> engine.mRuns.add(new EngineRun(new AttemptId("x." + step), 10));
                default -> fixture.advance(random.nextInt(3_000));
            }
        }
        for (int i = 0; i < 10; i++) {
            fixture.advance(6_000);
        }
        assertWithMessage("reserved").that(fixture.mScheduler.reservedTokens()).isEqualTo(0);
        assertWithMessage("running").that(fixture.mScheduler.running()).isEqualTo(0);
        assertWithMessage("unknown runs").that(engine.mRuns).isEmpty();
        sinks.forEach((id, sink) -> check(id, sink, engine, refused));
    }

    private static void check(
            String id, RecordingSink sink, FakeEngine engine, List<String> refused) {
        assertWithMessage("ends of %s", id).that(sink.mEndCount).isEqualTo(1);
        long lastEvents =
                sink.mEvents.stream().filter(e -> e.hasFinished() || e.hasFailed()).count();
        assertWithMessage("last events of %s", id).that(lastEvents).isAtMost(1);
        if (lastEvents == 1) {
            RunEvent last = sink.last();
            assertWithMessage("last event of %s", id)
                    .that(last.hasFinished() || last.hasFailed())
                    .isTrue();
        }
        for (int i = 0; i < sink.tokens().size(); i++) {
            assertWithMessage("token of %s", id).that(sink.tokens().get(i)).isEqualTo((long) i);
        }
        boolean sent = engine.mStreams.containsKey(id) && !refused.contains(id);
        if (sent && lastEvents == 1 && sink.last().hasFailed()) {
            assertWithMessage("failure of %s", id).that(sink.failure()).doesNotContain("NOT_RUN");
        }
        if (!engine.mStreams.containsKey(id) && lastEvents == 1) {
            assertWithMessage("failure of %s", id).that(sink.failure()).contains("NOT_RUN");
        }
    }

    private static void nextToken(FakeEngine engine, RecordingSink sink, String id) {
        engine.token(id, sink.tokens().size());
    }

    private static void finish(FakeEngine engine, RecordingSink sink, String id) {
        engine.finish(id, sink.tokens().size());
    }

    private static void fault(FakeEngine engine, String id, int kind) {
        switch (kind) {
            case 0 ->
                    engine.mStreams
                            .get(id)
                            .fail(RequestFailure.notRun(FailureCode.OVERLOADED, "full"));
            case 1 -> engine.mStreams.get(id).fail(new IllegalStateException("reset"));
            case 2 -> engine.mStreams.get(id).complete();
            default -> engine.mStreams.get(id).emit(new EngineEvent.Token("other", 0, "crossed"));
        }
    }

    private static void ifTrue(boolean condition, Runnable task) {
        if (condition) {
            task.run();
        }
    }
}
