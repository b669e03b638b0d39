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

    private AdmissionDecision submit(UpstreamScheduler scheduler, WorkItems items, long tokens) {
        String id = items.workspace() + mNext++;
        return scheduler.submit(items.item(mClock, id, tokens, 100, MINUTE));
    }

    private static FailureCode code(AdmissionDecision decision) {
        return ((AdmissionDecision.Refused) decision).code();
    }

    @Nested
    class Shares {

        private final FairUpstreamScheduler mScheduler = scheduler(SchedulerSettings.defaults());
        private final SimulatedEngine mEngine =
                new SimulatedEngine(mClock, mScheduler, 20_000, Duration.ofSeconds(1));

        /** Guards against starvation of every other rank by an overload of the most urgent one. */
        @Test
        void anOverloadOfTheUrgentRankLeavesTheOtherItsFloor() {
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        submit(mScheduler, WorkItems.URGENT.ofWorkspace("w" + mNext % 20), 2_000);
                        submit(mScheduler, WorkItems.URGENT.ofWorkspace("w" + mNext % 20), 2_000);
                        submit(mScheduler, WorkItems.BULK, 2_000);
                    });
            double total = mEngine.servedOfRank("urgent") + mEngine.servedOfRank("bulk");
            assertThat(total).isAtLeast(0.9 * 60 * 20_000);
            double share = mEngine.servedOfRank("bulk") / total;
            assertThat(share).isAtLeast(0.09);
            assertThat(share).isAtMost(0.15);
        }

        /** Guards against urgent work that waits behind an overload of less urgent work. */
        @Test
        void anOverloadOfTheLeastUrgentRankLeavesUrgentWorkItsGoodput() {
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        submit(mScheduler, WorkItems.BULK.ofWorkspace("w" + mNext % 20), 2_000);
                        submit(mScheduler, WorkItems.BULK.ofWorkspace("w" + mNext % 20), 2_000);
                        if (mSteps++ % 10 == 0) {
                            submit(mScheduler, WorkItems.URGENT, 1_000);
                        }
                    });
            double offered = mSteps / 10 * 1_100;
            assertThat(offered).isGreaterThan(600_000);
            assertThat((double) mEngine.servedOfRank("urgent")).isAtLeast(0.95 * offered);
        }

        /**
         * Guards against shares other than those of the fluid model, which serves exactly by
         * weight.
         */
        @Test
        void saturatedWorkspacesAreServedByWeight() {
            int[] weights = {1, 1, 2, 4};
            int[] sizes = {500, 4_000, 2_000, 1_000};
            long maxItem = 4_100;
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        for (int i = 0; i < weights.length; i++) {
                            WorkItems items =
                                    WorkItems.URGENT.ofWorkspace("w" + i).withWeight(weights[i]);
                            submit(mScheduler, items, sizes[i]);
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

        /** Guards against one workspace that takes the share of another. */
        @Test
        void aWorkspaceWithinItsShareIsServedInFullBesideAnOverloadingOne() {
            mEngine.run(
                    Duration.ofSeconds(60),
                    () -> {
                        submit(mScheduler, WorkItems.URGENT.ofWorkspace("greedy"), 2_000);
                        submit(mScheduler, WorkItems.URGENT.ofWorkspace("greedy"), 2_000);
                        if (mSteps++ % 30 == 0) {
                            submit(mScheduler, WorkItems.URGENT.ofWorkspace("modest"), 2_000);
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
        void memoryAccumulatesForALargeItemWhileSmallOnesKeepArriving() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withMemoryTokens(100_000));
            SimulatedEngine engine =
                    new SimulatedEngine(mClock, scheduler, 200_000, Duration.ofSeconds(2));
            Runnable small =
                    () -> submit(scheduler, WorkItems.URGENT.ofWorkspace("w" + mNext % 20), 2_000);
            engine.run(Duration.ofSeconds(5), small);
            scheduler.submit(WorkItems.URGENT.item(mClock, "large", 80_000, 100, MINUTE));
            assertThat(scheduler.freeTokens()).isLessThan(80_100);
            engine.run(Duration.ofSeconds(15), small);
            assertThat(engine.hasStarted("large")).isTrue();
        }

        /** Guards against a segment reservation whose memory is always taken by small work. */
        @Test
        void memoryAccumulatesForASegmentReservationThatIsRetried() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withMemoryTokens(100_000));
            SimulatedEngine engine =
                    new SimulatedEngine(mClock, scheduler, 200_000, Duration.ofSeconds(2));
            boolean[] held = {false};
            Runnable small =
                    () -> submit(scheduler, WorkItems.URGENT.ofWorkspace("w" + mNext % 20), 2_000);
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

        /** Guards against pending reservations that let work without a floor block urgent work. */
        @Test
        void aRankThatIsNotNextGetsNoPendingReservation() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withMemoryTokens(100_000));
            SimulatedEngine engine =
                    new SimulatedEngine(mClock, scheduler, 200_000, Duration.ofSeconds(2));
            WorkItems idle = new WorkItems("idle", 1, "idle", 9, 0);
            Runnable small =
                    () -> submit(scheduler, WorkItems.URGENT.ofWorkspace("w" + mNext % 20), 2_000);
            engine.run(Duration.ofSeconds(5), small);
            scheduler.submit(idle.item(mClock, "large", 80_000, 100, MINUTE));
            engine.run(Duration.ofSeconds(15), small);
            assertThat(engine.hasStarted("large")).isFalse();
        }

        /** Guards against long prompts that occupy all memory of the engine. */
        @Test
        void longWorkLeavesMemoryForShortWork() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            for (int i = 0; i < 4; i++) {
                submit(scheduler, WorkItems.BULK.ofWorkspace("w" + i), 250_000);
            }
            submit(scheduler, WorkItems.URGENT, 1_000);
            assertThat(scheduler.takeDispatchable()).hasSize(2);
            scheduler.prefillFinished(new AttemptId("w00"), 250_000);
            assertThat(scheduler.takeDispatchable()).hasSize(1);
            scheduler.prefillFinished(new AttemptId("w11"), 250_000);
            assertThat(scheduler.takeDispatchable()).isEmpty();
            assertThat(scheduler.freeTokens()).isGreaterThan(400_000);
        }

        /** Guards against releasing runs that the engine's list does not contain yet. */
        @Test
        void aRunMissingInOneListKeepsItsReservation() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            submit(scheduler, WorkItems.URGENT, 1_000);
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
                submit(scheduler, WorkItems.URGENT, 7_000);
            }
            WorkItem late = WorkItems.URGENT.item(mClock, "x", 1_000, 10, Duration.ofSeconds(1));
            assertThat(code(scheduler.submit(late))).isEqualTo(FailureCode.OVERLOADED);
            WorkItem other =
                    WorkItems.URGENT
                            .ofWorkspace("other")
                            .item(mClock, "y", 1_000, 10, Duration.ofSeconds(1));
            assertThat(scheduler.submit(other)).isInstanceOf(AdmissionDecision.Queued.class);
        }

        /** Guards against queueing a request that can never start. */
        @Test
        void aRequestLargerThanTheEngineMemoryIsRefusedAsTooLarge() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            assertThat(code(submit(scheduler, WorkItems.BULK, 1_000_000)))
                    .isEqualTo(FailureCode.BODY_TOO_LARGE);
        }

        /** Guards against an overload that displaces urgent callers or those within their share. */
        @Test
        void aFullQueueDisplacesTheNewestItemOfTheLargestWorkspaceInTheLeastUrgentRank() {
            FairUpstreamScheduler scheduler =
                    scheduler(SchedulerSettings.defaults().withQueueLimits(10, 8));
            submit(scheduler, WorkItems.BULK.ofWorkspace("modest"), 100);
            for (int i = 0; i < 8; i++) {
                submit(scheduler, WorkItems.BULK.ofWorkspace("greedy"), 100);
            }
            submit(scheduler, WorkItems.URGENT, 100);
            AdmissionDecision decision =
                    submit(scheduler, WorkItems.URGENT.ofWorkspace("other"), 100);
            List<WorkItem> displaced = ((AdmissionDecision.Queued) decision).displaced();
            assertThat(displaced).hasSize(1);
            assertThat(displaced.get(0).attemptId()).isEqualTo(new AttemptId("greedy8"));
            assertThat(code(submit(scheduler, WorkItems.BULK.ofWorkspace("greedy"), 100)))
                    .isEqualTo(FailureCode.OVERLOADED);
        }

        /** Guards against running work whose caller has already received a failure. */
        @Test
        void expiredWorkIsReportedAndNeverDispatched() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            WorkItem item = WorkItems.URGENT.item(mClock, "x", 100, 10, Duration.ofSeconds(1));
            scheduler.submit(item);
            mClock.advance(Duration.ofSeconds(1));
            assertThat(scheduler.takeDispatchable()).isEmpty();
            assertThat(scheduler.takeExpired()).containsExactly(item);
            assertThat(scheduler.takeExpired()).isEmpty();
        }

        /** Guards against items that a reduced capacity leaves in the queue forever. */
        @Test
        void itemsLargerThanAReducedCapacityExpire() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            submit(scheduler, WorkItems.BULK, 50_000);
            scheduler.setCapacity(10_000);
            assertThat(scheduler.takeExpired()).hasSize(1);
            assertThat(scheduler.takeDispatchable()).isEmpty();
        }

        /** Guards against one slow sample that makes the scheduler refuse all work permanently. */
        @Test
        void anOutdatedRateDoesNotRefuseWork() {
            FairUpstreamScheduler scheduler = scheduler(SchedulerSettings.defaults());
            submit(scheduler, WorkItems.URGENT, 1_000);
            AttemptId attempt = scheduler.takeDispatchable().get(0).attemptId();
            mClock.advance(Duration.ofSeconds(50));
            scheduler.prefillFinished(attempt, 1_000);
            scheduler.release(attempt, 1);
            assertThat(code(submit(scheduler, WorkItems.URGENT, 7_000)))
                    .isEqualTo(FailureCode.OVERLOADED);
            mClock.advance(Duration.ofSeconds(11));
            assertThat(submit(scheduler, WorkItems.URGENT, 7_000))
                    .isInstanceOf(AdmissionDecision.Queued.class);
        }
    }

    /** Guards against weights of an old configuration version that arrive late. */
    @Test
    void anOlderStampDoesNotChangeTheWeight() {
        WorkspacePolicyTable policies = new WorkspacePolicyTable(Duration.ofMinutes(10));
        assertThat(policies.weight(stamp(2, 5), 0)).isEqualTo(5);
        assertThat(policies.weight(stamp(1, 9), 1)).isEqualTo(5);
        assertThat(policies.weight(stamp(3, 7), Duration.ofMinutes(11).toNanos())).isEqualTo(7);
    }

    private static PolicyStamp stamp(long version, int weight) {
        return new PolicyStamp(version, "w", weight, "r", 0, 10);
    }
}
