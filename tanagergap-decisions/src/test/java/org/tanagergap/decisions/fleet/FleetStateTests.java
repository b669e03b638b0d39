package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.request.RequestCost;

/** Guards the load, health and retry decisions on which placement and forwarding depend. */
final class FleetStateTests {

    private static final long MILLI = 1_000_000;
    private static final StreamTargets TARGETS = StreamTargets.of(250, 1.6);

    @Nested
    class Loads {

        private final FleetLoad mLoad = new FleetLoad();

        private InFlightRequest begin(String upstream) {
            RequestCost cost = new RequestCost(10_000, 100);
            return mLoad.begin(
                    upstream, new InFlightRequest.Demand(cost, 50, true, 250, 300, 1), 0);
        }

        @Test
        void ofAllInstancesAreAddedUp() {
            begin("e1");
            mLoad.peerReported(
                    "peer", Map.of("e1", new UpstreamLoad(2, TARGETS, 1, 30, 5_000, TARGETS)), 0);

            UpstreamLoad total = mLoad.totalLoad("e1", 0);

            assertThat(total.running()).isEqualTo(3);
            assertThat(total.prefillMillis()).isEqualTo(80.0);
            assertThat(total.memoryTokens()).isEqualTo(15_100);
        }

        /** Guards against a crashed peer whose last reported load keeps engines full forever. */
        @Test
        void ofAPeerThatStoppedReportingExpire() {
            mLoad.peerReported(
                    "peer", Map.of("e1", new UpstreamLoad(2, TARGETS, 1, 30, 5_000, TARGETS)), 0);

            assertThat(mLoad.totalLoad("e1", 2_000 * MILLI)).isEqualTo(UpstreamLoad.NONE);
        }

        @Test
        void endOnce() {
            InFlightRequest request = begin("e1");
            begin("e1");
            mLoad.end(request);
            mLoad.end(request);

            assertThat(mLoad.totalLoad("e1", 0).running()).isEqualTo(1);
        }

        @Test
        void ofADecodingRequestHaveNoPrefillLeft() {
            InFlightRequest request = begin("e1");
            request.firstTokenArrived();

            assertThat(mLoad.totalLoad("e1", 0).prefillMillis()).isEqualTo(0.0);
            assertThat(mLoad.totalLoad("e1", 0).decoding()).isEqualTo(1);
        }
    }

    @Nested
    class Health {

        private final UpstreamHealth mHealth = new UpstreamHealth();

        @Test
        void aSingleFailureIsTolerated() {
            mHealth.failed("e1", 0);

            assertThat(mHealth.isUsable("e1", 0)).isTrue();
        }

        @Test
        void failuresInARowSuspendForLongerEachTime() {
            mHealth.failed("e1", 0);
            mHealth.failed("e1", 0);
            assertThat(mHealth.isUsable("e1", 399 * MILLI)).isFalse();
            assertThat(mHealth.isUsable("e1", 400 * MILLI)).isTrue();

            mHealth.failed("e1", 400 * MILLI);
            assertThat(mHealth.isUsable("e1", 1_100 * MILLI)).isFalse();
        }

        @Test
        void successEndsTheSuspension() {
            mHealth.unreachable("e1", 0);
            mHealth.succeeded("e1");

            assertThat(mHealth.isUsable("e1", 0)).isTrue();
        }

        /** An upstream that had been silent for a second stayed suspended for several. */
        @Test
        void anUpstreamThatGoesOnAfterAStallIsUsableAgain() {
            mHealth.stalled("e1", 0);
            mHealth.stalled("e1", 1_200 * MILLI);
            assertThat(mHealth.isUsable("e1", 1_300 * MILLI)).isFalse();

            mHealth.progressed("e1");

            assertThat(mHealth.isUsable("e1", 1_300 * MILLI)).isTrue();
            mHealth.failed("e1", 1_300 * MILLI);
            assertThat(mHealth.isUsable("e1", 1_300 * MILLI)).isTrue();
        }

        /** Five requests that stalled together suspended their upstream for 4 s. */
        @Test
        void requestsThatStallTogetherSuspendTheUpstreamOnce() {
            for (int i = 0; i < 5; i++) {
                mHealth.stalled("e1", i * MILLI);
            }

            assertThat(mHealth.isUsable("e1", 399 * MILLI)).isFalse();
            assertThat(mHealth.isUsable("e1", 400 * MILLI)).isTrue();
        }

        @Test
        void progressDoesNotEndASuspensionForAnotherReason() {
            mHealth.stalled("e1", 0);
            mHealth.unreachable("e1", 0);

            mHealth.progressed("e1");

            assertThat(mHealth.isUsable("e1", 0)).isFalse();
        }

        /**
         * Guards against suspensions that peers report back to each other and that therefore never
         * end.
         */
        @Test
        void suspensionsReportedByPeersAreNotReportedAgain() {
            mHealth.suspend("e1", Duration.ofSeconds(1), 0);
            mHealth.unreachable("e2", 0);

            assertThat(mHealth.suspended(0).keySet()).containsExactly("e2");
        }

        @Test
        void slowFirstTokensRaiseSlownessAndFastOnesLowerIt() {
            mHealth.slowness().observed("e1", 5, 0);
            double slow = mHealth.slowness().of("e1", 0);
            mHealth.slowness().observed("e1", 1, 0);

            assertThat(slow).isGreaterThan(1.5);
            assertThat(mHealth.slowness().of("e1", 0)).isLessThan(slow);
        }
    }

    @Nested
    class Retries {

        @Test
        void areRefusedForNonIdempotentRequestsThatMayHaveRun() {
            RetryEligibility eligibility = new RetryEligibility(false, 2);

            assertThat(eligibility.mayRetry(Execution.UNKNOWN, 1, 0)).isFalse();
            assertThat(eligibility.mayRetry(Execution.NOT_RUN, 0, 1)).isTrue();
            assertThat(eligibility.mayRetry(Execution.NOT_RUN, 1, 1)).isFalse();
        }

        @Test
        void stayWithinTheMaximumOfAttempts() {
            RetryEligibility eligibility = new RetryEligibility(true, 2);

            assertThat(eligibility.mayRetry(Execution.UNKNOWN, 1, 0)).isTrue();
            assertThat(eligibility.mayRetry(Execution.UNKNOWN, 2, 0)).isFalse();
            assertThat(eligibility.mayRetry(Execution.NOT_RUN, 0, 9)).isFalse();
        }
    }

    /** Guards against retries of all instances together that exceed the budget in some window. */
    @Property(tries = 300)
    void retriesOfAllInstancesStayWithinTheBudget(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(max = 300) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 5) int instances) {
        double extra = 20;
        double ratio = 0.2;
        Duration window = Duration.ofSeconds(10);
        RetryBudgetShare[] shares = new RetryBudgetShare[instances];
        for (int i = 0; i < instances; i++) {
            shares[i] = new RetryBudgetShare(ratio, extra, window);
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < gaps.size(); i++) {
            now += gaps.get(i) * MILLI;
            RetryBudgetShare share = shares[i % instances];
            if (gaps.get(i) % 2 == 0) {
                share.recordRequest(now);
                requests.add(now);
            } else if (share.trySpend(instances, now)) {
                retries.add(now);
            }
            long from = now - window.toNanos();
            long inWindow = retries.stream().filter(t -> t >= from).count();
            long requested = requests.stream().filter(t -> t >= from).count();
            assertThat((double) inWindow).isAtMost(ratio * requested + extra);
        }
    }
}
