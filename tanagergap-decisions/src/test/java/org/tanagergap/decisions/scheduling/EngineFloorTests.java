package org.tanagergap.decisions.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.testing.PausedClock;

class EngineFloorTests {

    private static final double RATE = 20_000;
    private static final Duration MINUTE = Duration.ofMinutes(1);

    /**
     * Guards against prompts that starve in the engine because of its priorities, and against
     * delaying urgent work for longer than the floor requires.
     */
    @Property(seed = "20261204", tries = 30)
    void anOverloadOfShortWorkLeavesPrefillsInTheEngineTheirFloor(
            @ForAll @IntRange(min = 9_000, max = 150_000) int prompt,
            @ForAll @IntRange(min = 500, max = 7_000) int overloadPrompt,
            @ForAll @IntRange(min = 10, max = 40) int floorPercent) {
        PausedClock clock = new PausedClock();
        FairUpstreamScheduler scheduler =
                new FairUpstreamScheduler(clock, SchedulerSettings.defaults());
        PriorityEngine engine = new PriorityEngine(clock, scheduler, RATE, Duration.ofMillis(500));
        WorkItems bulk = new WorkItems("archive", 1, "bulk", 9, floorPercent);
        int[] next = {0};
        Duration length = Duration.ofMinutes(2);
        engine.run(
                length,
                () -> {
                    for (int i = 0; i <= 400 / overloadPrompt; i++) {
                        WorkItems items = WorkItems.URGENT.ofWorkspace("w" + next[0] % 30);
                        scheduler.submit(
                                items.item(clock, "f" + next[0]++, overloadPrompt, 10, MINUTE));
                    }
                    if (scheduler.queuedByRank().get("bulk") == null) {
                        scheduler.submit(
                                bulk.item(
                                        clock,
                                        "b" + next[0]++,
                                        prompt,
                                        10,
                                        MINUTE.multipliedBy(9)));
                    }
                });
        double possible = RATE * length.toSeconds();
        double share = engine.prefilledOf("bulk") / possible;
        assertThat(share).isAtLeast(0.9 * floorPercent / 100);
        assertThat(share).isAtMost(1.15 * floorPercent / 100 + 0.02);
        assertThat(engine.prefilledOf("urgent") / possible).isAtLeast(0.95 - share);
    }

    /** Guards against admitting work whose output cannot end by the deadline. */
    @Test
    void decodeTimeCountsInAdmissionAndBeforeDispatch() {
        PausedClock clock = new PausedClock();
        FairUpstreamScheduler scheduler =
                new FairUpstreamScheduler(clock, SchedulerSettings.defaults());
        run(clock, scheduler, "measured", 100, Duration.ofMillis(9_900));
        WorkItem late = WorkItems.URGENT.item(clock, "late", 1_000, 100, Duration.ofSeconds(10));
        AdmissionDecision decision = scheduler.submit(late);
        assertThat(((AdmissionDecision.Refused) decision).code()).isEqualTo(FailureCode.OVERLOADED);
        WorkItem fits = WorkItems.URGENT.item(clock, "fits", 1_000, 100, Duration.ofSeconds(14));
        assertThat(scheduler.submit(fits)).isInstanceOf(AdmissionDecision.Queued.class);
        clock.advance(Duration.ofSeconds(3));
        assertThat(scheduler.takeDispatchable()).isEmpty();
        assertThat(scheduler.takeExpired()).containsExactly(fits);
    }

    /** Guards against dispatching work after decode has become too slow for its deadline. */
    @Test
    void queuedWorkThatCanNoLongerFinishIsNotDispatched() {
        PausedClock clock = new PausedClock();
        FairUpstreamScheduler scheduler =
                new FairUpstreamScheduler(clock, SchedulerSettings.defaults());
        run(clock, scheduler, "fast", 100, Duration.ofSeconds(1));
        start(scheduler, WorkItems.URGENT.item(clock, "slow", 1_000, 100, MINUTE));
        scheduler.prefillFinished(new AttemptId("slow"), 1_000);
        WorkItem queued =
                WorkItems.URGENT.item(clock, "queued", 1_000, 100, Duration.ofSeconds(15));
        clock.advance(Duration.ofSeconds(9));
        scheduler.submit(WorkItems.URGENT.item(clock, "gone", 1_000, 100, Duration.ofSeconds(15)));
        scheduler.release(new AttemptId("gone"), 0);
        assertThat(scheduler.submit(queued)).isInstanceOf(AdmissionDecision.Queued.class);
        clock.advance(Duration.ofSeconds(3));
        scheduler.release(new AttemptId("slow"), 100);
        assertThat(scheduler.takeDispatchable()).isEmpty();
        assertThat(scheduler.takeExpired()).containsExactly(queued);
    }

    /**
     * Guards against a pending reservation of a large prompt that keeps short prompts waiting for
     * memory.
     */
    @Test
    void aPendingReservationLeavesMemoryForShortPrompts() {
        PausedClock clock = new PausedClock();
        FairUpstreamScheduler scheduler =
                new FairUpstreamScheduler(
                        clock, SchedulerSettings.defaults().withMemoryTokens(400_000));
        start(scheduler, WorkItems.BULK.item(clock, "first", 300_000, 100, MINUTE.multipliedBy(9)));
        scheduler.prefillFinished(new AttemptId("first"), 300_000);
        scheduler.submit(WorkItems.BULK.item(clock, "second", 90_000, 100, MINUTE.multipliedBy(9)));
        for (int i = 0; i < 50; i++) {
            clock.advance(Duration.ofMillis(100));
            assertThat(scheduler.takeDispatchable()).isEmpty();
        }
        start(scheduler, WorkItems.URGENT.item(clock, "short", 7_000, 100, MINUTE));
    }

    /** Guards against a rule that lets long prompts of an urgent rank delay short ones. */
    @Test
    void enginePrioritiesPutLongPromptsLastAndUrgentRanksFirst() {
        assertThat(EnginePriority.of(0, LengthBand.LONG))
                .isGreaterThan(EnginePriority.of(Integer.MAX_VALUE, LengthBand.MEDIUM));
        assertThat(EnginePriority.of(0, LengthBand.MEDIUM))
                .isLessThan(EnginePriority.of(1, LengthBand.SHORT));
        assertThat(EnginePriority.of(1, LengthBand.SHORT))
                .isLessThan(EnginePriority.of(1, LengthBand.MEDIUM));
    }

    private static void start(FairUpstreamScheduler scheduler, WorkItem item) {
        scheduler.submit(item);
        assertThat(scheduler.takeDispatchable()).containsExactly(item);
    }

    private static void run(
            PausedClock clock,
            FairUpstreamScheduler scheduler,
            String id,
            long output,
            Duration decode) {
        start(scheduler, WorkItems.URGENT.item(clock, id, 1_000, output, MINUTE));
        clock.advance(Duration.ofMillis(50));
        scheduler.prefillFinished(new AttemptId(id), 1_000);
        clock.advance(decode);
        scheduler.release(new AttemptId(id), output);
    }
}
