package org.tanagergap.decisions.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import org.tanagergap.testing.PausedClock;

class FairUpstreamSchedulerPropertyTests {

    private static final List<WorkItems> BUILDERS =
            List.of(
                    WorkItems.URGENT,
                    WorkItems.BULK,
                    WorkItems.BULK.ofWorkspace("b").withWeight(3),
                    WorkItems.URGENT.ofWorkspace("c"));

    /**
     * Guards against memory that leaks, is released twice or is overcommitted, and against running
     * work again after its end.
     */
    @Property(seed = "20261204", tries = 600)
    void memoryAndQueueMatchASimpleModel(
            @ForAll("interleavings") ActionChain<SchedulerModel> chain) {
        SchedulerModel model = chain.withInvariant(SchedulerModel::check).run();
        model.checkNothingLeaks();
    }

    @Provide
    ActionChainArbitrary<SchedulerModel> interleavings() {
        Arbitrary<Long> prompt = Arbitraries.of(0L, 1_000L, 7_000L, 40_000L, 120_000L, 300_000L);
        Arbitrary<Integer> choice = Arbitraries.integers().between(0, 50);
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        Arbitrary<String> reservation = Arbitraries.of("h1", "h2", "h3");
        return ActionChain.startWith(SchedulerModel::new)
                .withAction(
                        6,
                        action(
                                Combinators.combine(
                                                Arbitraries.of(BUILDERS),
                                                prompt,
                                                Arbitraries.longs().between(0, 60_000))
                                        .as(
                                                (builder, tokens, left) ->
                                                        change(
                                                                "submit " + tokens,
                                                                m ->
                                                                        m.submit(
                                                                                builder, tokens,
                                                                                500, left)))))
                .withAction(4, action(just("dispatch", SchedulerModel::dispatch)))
                .withAction(1, action(just("expire", SchedulerModel::expire)))
                .withAction(
                        3,
                        action(
                                Combinators.combine(choice, Arbitraries.of(0.5, 1.0, 1.7))
                                        .as(
                                                (c, error) ->
                                                        change(
                                                                "prefill finished",
                                                                m -> m.finishPrefill(c, error)))))
                .withAction(
                        3,
                        action(
                                Combinators.combine(choice, flag)
                                        .as((c, f) -> change("release", m -> m.release(c, f)))))
                .withAction(1, action(choice.map(c -> change("late reply", m -> m.lateReply(c)))))
                .withAction(2, action(flag.map(f -> change("reconcile", m -> m.reconcile(f)))))
                .withAction(
                        2,
                        action(
                                Combinators.combine(reservation, prompt)
                                        .as(
                                                (h, t) ->
                                                        change(
                                                                "reserve segment " + h,
                                                                m -> m.reserveSegment(h, t)))))
                .withAction(
                        1,
                        action(
                                reservation.map(
                                        h ->
                                                change(
                                                        "release segment " + h,
                                                        m -> m.releaseSegment(h)))))
                .withAction(1, action(just("expire segments", SchedulerModel::expireSegments)))
                .withAction(
                        3,
                        action(
                                Arbitraries.of(1L, 200L, 1_500L, 11_000L)
                                        .map(ms -> change("advance " + ms, m -> m.advance(ms)))))
                .withMaxTransformations(60);
    }

    /** Guards against deadlock and livelock of two prompts that span the same engines. */
    @Property(seed = "20261204", tries = 300)
    void twoPromptsThatSpanTheSameEnginesBothComplete(
            @ForAll @Size(400) List<@IntRange(min = 0, max = 1) Integer> turns,
            @ForAll @IntRange(min = 1, max = 4) int engines) {
        PausedClock clock = new PausedClock();
        List<FairUpstreamScheduler> schedulers = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            schedulers.add(new FairUpstreamScheduler(clock, SchedulerSettings.defaults()));
        }
        List<SpanningPrompt> prompts = List.of(new SpanningPrompt("p0"), new SpanningPrompt("p1"));
        for (int turn : turns) {
            prompts.get(turn).step(schedulers);
            clock.advance(Duration.ofMillis(100));
            schedulers.forEach(FairUpstreamScheduler::releaseExpiredSegments);
        }
        for (int i = 0; i < 1_000 && !prompts.stream().allMatch(p -> p.mDone); i++) {
            prompts.get(i % 2).step(schedulers);
            clock.advance(Duration.ofMillis(100));
            schedulers.forEach(FairUpstreamScheduler::releaseExpiredSegments);
        }
        assertThat(prompts.get(0).mDone).isTrue();
        assertThat(prompts.get(1).mDone).isTrue();
        schedulers.forEach(scheduler -> assertThat(scheduler.reservedTokens()).isEqualTo(0));
    }

    /** Guards against starvation of a rank with a floor, whatever the lengths of its prompts. */
    @Property(seed = "20261204", tries = 40)
    void workUnderAFloorStartsWithinABoundDuringAnOverload(
            @ForAll @Size(3) List<@IntRange(min = 100, max = 350_000) Integer> prompts,
            @ForAll @IntRange(min = 500, max = 7_000) int overloadPrompt) {
        PausedClock clock = new PausedClock();
        FairUpstreamScheduler scheduler =
                new FairUpstreamScheduler(
                        clock, SchedulerSettings.defaults().withMemoryTokens(400_000));
        SimulatedEngine engine =
                new SimulatedEngine(clock, scheduler, 200_000, Duration.ofSeconds(2));
        int[] next = {0};
        Runnable overload =
                () -> {
                    for (int i = 0; i < 1 + 4_000 / overloadPrompt; i++) {
                        WorkItems builder = WorkItems.URGENT.ofWorkspace("w" + next[0] % 30);
                        String id = "f" + next[0]++;
                        scheduler.submit(
                                builder.item(
                                        clock, id, overloadPrompt, 100, Duration.ofSeconds(20)));
                    }
                };
        for (int i = 0; i < prompts.size(); i++) {
            // After 12 s, the window no longer contains the previous item and the rank is below its
            // floor.
            engine.run(Duration.ofSeconds(12), overload);
            String id = "bulk" + i;
            WorkItem item =
                    WorkItems.BULK.item(clock, id, prompts.get(i), 100, Duration.ofMinutes(2));
            assertThat(scheduler.submit(item)).isInstanceOf(AdmissionDecision.Queued.class);
            // 1 s to a pending reservation, 2 s until all memory accumulates, 2 s of decode, and
            // prefill.
            engine.run(Duration.ofSeconds(6), overload);
            assertThat(engine.hasStarted(id)).isTrue();
        }
    }

    private static Action.Independent<SchedulerModel> action(
            Arbitrary<Transformer<SchedulerModel>> transformer) {
        return () -> transformer;
    }

    private static Arbitrary<Transformer<SchedulerModel>> just(
            String name, Consumer<SchedulerModel> change) {
        return Arbitraries.just(change(name, change));
    }

    private static Transformer<SchedulerModel> change(
            String name, Consumer<SchedulerModel> change) {
        return Transformer.mutate(name, change);
    }

    /**
     * Entry that reserves memory on all engines in ascending order and releases it when one
     * refuses.
     */
    private static final class SpanningPrompt {

        private final String mId;
        private int mReserved;
        private boolean mDone;

        SpanningPrompt(String id) {
            mId = id;
        }

        void step(List<FairUpstreamScheduler> schedulers) {
            if (mDone) {
                return;
            }
            boolean isComplete = mReserved == schedulers.size();
            if (!isComplete
                    && schedulers
                            .get(mReserved)
                            .reserveSegment(mId, 900_000, Duration.ofSeconds(10))) {
                mReserved++;
                return;
            }
            // A reservation may have expired meanwhile; then the entry starts again.
            boolean allReserved = true;
            for (int i = 0; i < mReserved; i++) {
                allReserved &= schedulers.get(i).releaseSegment(mId);
            }
            mDone = isComplete && allReserved;
            mReserved = 0;
        }
    }
}
