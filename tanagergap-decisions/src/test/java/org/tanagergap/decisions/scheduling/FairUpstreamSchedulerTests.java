package org.tanagergap.decisions.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.testing.PausedClock;

class FairUpstreamSchedulerTests {

    private static final Duration MINUTE = Duration.ofMinutes(1);

    private final PausedClock mClock = new PausedClock();
    private int mNext;
    private int mSteps;

    private FairUpstreamScheduler scheduler(SchedulerSettings settings) {
        return new FairUpstreamScheduler(mClock, settings);
    }

    private AdmissionDecision submit(UpstreamScheduler scheduler, Work work, long tokens) {
        String id = work.workspace() + mNext++;
        return scheduler.submit(work.item(mClock, id, tokens, 100, MINUTE));
    }

    private static FailureCode code(AdmissionDecision decision) {
        return ((AdmissionDecision.Refused) decision).code();
    }

    @Nested
    class Shares {

        private final FairUpstreamScheduler mScheduler = scheduler(SchedulerSettings.defaults());
        private final SimulatedEngine mEngine =
                new SimulatedEngine(mClock, mScheduler, 20_000, Duration.ofSeconds(1));

        /** Guards against starvation of every other rank by a flood of the most urgent one. */
        @Test
        void floodOfTheUrgentRankLeavesTheOtherItsFloor() {
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        submit(mScheduler, Work.URGENT.of("w" + mNext % 20), 2_000);
                        submit(mScheduler, Work.URGENT.of("w" + mNext % 20), 2_000);
                        submit(mScheduler, Work.BULK, 2_000);
                    });
            double total = mEngine.servedOfRank("urgent") + mEngine.servedOfRank("bulk");
            assertThat(total).isAtLeast(0.9 * 60 * 20_000);
            double share = mEngine.servedOfRank("bulk") / total;
            assertThat(share).isAtLeast(0.09);
            assertThat(share).isAtMost(0.15);
        }

        /** Guards against urgent work that waits behind a flood of less urgent work. */
        @Test
        void floodOfTheLeastUrgentRankLeavesUrgentWorkItsGoodput() {
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        submit(mScheduler, Work.BULK.of("w" + mNext % 20), 2_000);
                        submit(mScheduler, Work.BULK.of("w" + mNext % 20), 2_000);
                        if (mSteps++ % 10 == 0) {
                            submit(mScheduler, Work.URGENT, 1_000);
                        }
                    });
            double offered = mSteps / 10 * 1_100;
            assertThat(offered).isGreaterThan(600_000);
            assertThat((double) mEngine.servedOfRank("urgent")).isAtLeast(0.95 * offered);
        }

        /** Compares served tokens with the fluid model, which serves exactly by weight. */
        @Test
        void saturatedWorkspacesAreServedByWeight() {
            int[] weights = {1, 1, 2, 4};
            int[] sizes = {500, 4_000, 2_000, 1_000};
            long maxItem = 4_100;
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        for (int i = 0; i < weights.length; i++) {
                            Work work = Work.URGENT.of("w" + i).weighing(weights[i]);
                            submit(mScheduler, work, sizes[i]);
                        }
                    });
            long total =
                    IntStream.range(0, 4).mapToLong(i -> mEngine.servedOfWorkspace("w" + i)).sum();
            for (int i = 0; i < weights.length; i++) {
                double ideal = total * weights[i] / 8.0;
                double served = mEngine.servedOfWorkspace("w" + i);
                // Start-time fair queueing lags or leads by at most one item per other workspace.
                assertThat(served).isWithin(4 * maxItem).of(ideal);
            }
        }

        /** Guards against one workspace that takes the share of a modest one. */
        @Test
        void aModestWorkspaceBesideAGreedyOneIsServedInFull() {
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        submit(mScheduler, Work.URGENT.of("greedy"), 2_000);
                        submit(mScheduler, Work.URGENT.of("greedy"), 2_000);
                        if (mSteps++ % 30 == 0) {
                            submit(mScheduler, Work.URGENT.of("modest"), 2_000);
                        }
                    });
            double offered = mSteps / 30 * 2_100;
            assertThat(offered).isGreaterThan(400_000);
            assertThat((double) mEngine.servedOfWorkspace("modest")).isAtLeast(0.95 * offered);
        }
    }

    @Nested
    class Memory {

        /** Guards against a large item that small ones overtake forever. */
        @Test
        void memoryAccruesToALargeItemWhileSmallOnesKeepArriving() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withMemoryTokens(100_000));
            SimulatedEngine engine =
                    new SimulatedEngine(mClock, scheduler, 200_000, Duration.ofSeconds(2));
            Runnable small = () -> submit(scheduler, Work.URGENT.of("w" + mNext % 20), 2_000);
            engine.run(Duration.ofSeconds(5), small);
            scheduler.submit(Work.URGENT.item(mClock, "large", 80_000, 100, MINUTE));
            assertThat(scheduler.freeTokens()).isLessThan(80_100);
            engine.run(Duration.ofSeconds(15), small);
            assertThat(engine.hasStarted("large")).isTrue();
        }

        /** Guards against a hold that never finds memory because small work takes it first. */
        @Test
        void memoryAccruesToAHoldThatIsRetried() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withMemoryTokens(100_000));
            SimulatedEngine engine =
                    new SimulatedEngine(mClock, scheduler, 200_000, Duration.ofSeconds(2));
            boolean[] held = {false};
            Runnable small = () -> submit(scheduler, Work.URGENT.of("w" + mNext % 20), 2_000);
            engine.run(Duration.ofSeconds(5), small);
            engine.run(
                    Duration.ofSeconds(15),
                    () -> {
                        small.run();
                        scheduler.releaseExpiredSegments();
                        held[0] |= scheduler.reserveSegment("h", 80_000, Duration.ofSeconds(20));
                    });
            assertThat(held[0]).isTrue();
        }

        /** Guards against claims by which work without a floor takes memory from urgent work. */
        @Test
        void aRankWhoseTurnItIsNotGainsNoClaim() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withMemoryTokens(100_000));
            SimulatedEngine engine =
                    new SimulatedEngine(mClock, scheduler, 200_000, Duration.ofSeconds(2));
            Work idle = new Work("idle", 1, "idle", 9, 0);
            Runnable small = () -> submit(scheduler, Work.URGENT.of("w" + mNext % 20), 2_000);
            engine.run(Duration.ofSeconds(5), small);
            scheduler.submit(idle.item(mClock, "large", 80_000, 100, MINUTE));
            engine.run(Duration.ofSeconds(15), small);
            assertThat(engine.hasStarted("large")).isFalse();
        }

        /** Guards against long prompts that fill the engine. */
        @Test
        void longWorkLeavesMemoryForShortWork() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            for (int i = 0; i < 4; i++) {
                submit(scheduler, Work.BULK.of("w" + i), 250_000);
            }
            submit(scheduler, Work.URGENT, 1_000);
            assertThat(scheduler.takeDispatchable()).hasSize(2);
            scheduler.prefillFinished(new AttemptId("w00"), 250_000);
            assertThat(scheduler.takeDispatchable()).hasSize(1);
            scheduler.prefillFinished(new AttemptId("w11"), 250_000);
            assertThat(scheduler.takeDispatchable()).isEmpty();
            assertThat(scheduler.freeTokens()).isGreaterThan(400_000);
        }

        /** Guards against a release of runs that the engine's list does not show yet. */
        @Test
        void aRunMissingInOneListKeepsItsReservation() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            submit(scheduler, Work.URGENT, 1_000);
            AttemptId attempt = scheduler.takeDispatchable().get(0).attemptId();
            assertThat(scheduler.reconcile(List.of()).released()).isEmpty();
            assertThat(scheduler.reconcile(List.of()).released()).isEmpty();
            mClock.advance(Duration.ofSeconds(5));
            assertThat(scheduler.reconcile(List.of()).released()).isEmpty();
            assertThat(scheduler.reconcile(List.of()).released()).containsExactly(attempt);
            assertThat(scheduler.reservedTokens()).isEqualTo(0);
            assertThat(scheduler.release(attempt, 5)).isFalse();
        }
    }

    @Nested
    class Admission {

        /** Guards against admitting work that must miss its deadline. */
        @Test
        void anArrivalThatWouldWaitPastItsDeadlineIsRefused() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            for (int i = 0; i < 10; i++) {
                submit(scheduler, Work.URGENT, 7_000);
            }
            WorkItem late = Work.URGENT.item(mClock, "x", 1_000, 10, Duration.ofSeconds(1));
            assertThat(code(scheduler.submit(late))).isEqualTo(FailureCode.OVERLOADED);
            WorkItem other =
                    Work.URGENT.of("other").item(mClock, "y", 1_000, 10, Duration.ofSeconds(1));
            assertThat(scheduler.submit(other)).isInstanceOf(AdmissionDecision.Queued.class);
        }

        @Test
        void aRequestBeyondTheEngineIsRefusedAsTooLarge() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            assertThat(code(submit(scheduler, Work.BULK, 1_000_000)))
                    .isEqualTo(FailureCode.BODY_TOO_LARGE);
        }

        /** Guards against a flood that displaces more urgent or more modest callers. */
        @Test
        void aFullQueueDisplacesTheNewestOfTheGreediestOfTheLeastUrgentRank() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withQueueLimits(10, 8));
            submit(scheduler, Work.BULK.of("modest"), 100);
            for (int i = 0; i < 8; i++) {
                submit(scheduler, Work.BULK.of("greedy"), 100);
            }
            submit(scheduler, Work.URGENT, 100);
            AdmissionDecision decision = submit(scheduler, Work.URGENT.of("other"), 100);
            List<WorkItem> displaced = ((AdmissionDecision.Queued) decision).displaced();
            assertThat(displaced).hasSize(1);
            assertThat(displaced.get(0).attemptId()).isEqualTo(new AttemptId("greedy8"));
            assertThat(code(submit(scheduler, Work.BULK.of("greedy"), 100)))
                    .isEqualTo(FailureCode.OVERLOADED);
        }

        /** Guards against answers to work whose caller has already been told that it failed. */
        @Test
        void expiredWorkIsReportedAndNeverDispatched() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            WorkItem item = Work.URGENT.item(mClock, "x", 100, 10, Duration.ofSeconds(1));
            scheduler.submit(item);
            mClock.advance(Duration.ofSeconds(1));
            assertThat(scheduler.takeDispatchable()).isEmpty();
            assertThat(scheduler.takeExpired()).containsExactly(item);
            assertThat(scheduler.takeExpired()).isEmpty();
        }

        /** Guards against items that a reduced capacity leaves in the queue forever. */
        @Test
        void itemsBeyondAReducedCapacityExpire() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            submit(scheduler, Work.BULK, 50_000);
            scheduler.setCapacity(10_000);
            assertThat(scheduler.takeExpired()).hasSize(1);
            assertThat(scheduler.takeDispatchable()).isEmpty();
        }

        /** Guards against a stall that makes the scheduler refuse everything for good. */
        @Test
        void anOutdatedRateDoesNotRefuseWork() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            submit(scheduler, Work.URGENT, 1_000);
            AttemptId attempt = scheduler.takeDispatchable().get(0).attemptId();
            mClock.advance(Duration.ofSeconds(50));
            scheduler.prefillFinished(attempt, 1_000);
            scheduler.release(attempt, 1);
            assertThat(code(submit(scheduler, Work.URGENT, 7_000)))
                    .isEqualTo(FailureCode.OVERLOADED);
            mClock.advance(Duration.ofSeconds(11));
            assertThat(submit(scheduler, Work.URGENT, 7_000))
                    .isInstanceOf(AdmissionDecision.Queued.class);
        }
    }

    /** Guards against weights of an old configuration version that arrive late. */
    @Test
    void anOlderStampDoesNotChangeTheWeight() {
        PolicyTable policies = new PolicyTable(Duration.ofMinutes(10));
        assertThat(policies.weight(stamp(2, 5), 0)).isEqualTo(5);
        assertThat(policies.weight(stamp(1, 9), 1)).isEqualTo(5);
        assertThat(policies.weight(stamp(3, 7), Duration.ofMinutes(11).toNanos())).isEqualTo(7);
    }

    private static PolicyStamp stamp(long version, int weight) {
        return new PolicyStamp(version, "w", weight, "r", 0, 10);
    }
}
