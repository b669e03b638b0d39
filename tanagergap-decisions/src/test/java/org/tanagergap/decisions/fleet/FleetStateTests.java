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

/** Guards the load, trust, retry and repeat decisions that placement and forwarding rest on. */
final class FleetStateTests {

    private static final long MILLI = 1_000_000;

    @Nested
    class Loads {

        private final FleetLoad mLoad = new FleetLoad();

        private RunningWork begin(String upstream) {
            RequestCost cost = new RequestCost(10_000, 100);
            return mLoad.begin(upstream, new RunningWork.Share(cost, 50, true, true), 0);
        }

        @Test
        void ofAllInstancesAreAddedUp() {
            begin("e1");
            mLoad.report("peer", Map.of("e1", new UpstreamLoad(2, 1, 1, 30, 5_000)), 0);

            UpstreamLoad total = mLoad.total("e1", 0);

            assertThat(total.running()).isEqualTo(3);
            assertThat(total.readMillis()).isEqualTo(80.0);
            assertThat(total.memoryTokens()).isEqualTo(15_100);
        }

        /** A peer that has died must not keep engines full for ever. */
        @Test
        void ofASilentPeerAreForgotten() {
            mLoad.report("peer", Map.of("e1", new UpstreamLoad(2, 1, 1, 30, 5_000)), 0);

            assertThat(mLoad.total("e1", 2_000 * MILLI)).isEqualTo(UpstreamLoad.NONE);
        }

        @Test
        void endOnce() {
            RunningWork work = begin("e1");
            begin("e1");
            mLoad.end(work);
            mLoad.end(work);

            assertThat(mLoad.total("e1", 0).running()).isEqualTo(1);
        }

        @Test
        void ofAWriterHaveNothingLeftToRead() {
            RunningWork work = begin("e1");
            work.firstToken();

            assertThat(mLoad.total("e1", 0).readMillis()).isEqualTo(0.0);
            assertThat(mLoad.total("e1", 0).writing()).isEqualTo(1);
        }
    }

    @Nested
    class Trust {

        private final UpstreamTrust mTrust = new UpstreamTrust();

        @Test
        void aSingleFailureIsTolerated() {
            mTrust.failed("e1", 0);

            assertThat(mTrust.usable("e1", 0)).isTrue();
        }

        @Test
        void failuresInARowSuspendForLongerEachTime() {
            mTrust.failed("e1", 0);
            mTrust.failed("e1", 0);
            assertThat(mTrust.usable("e1", 399 * MILLI)).isFalse();
            assertThat(mTrust.usable("e1", 400 * MILLI)).isTrue();

            mTrust.failed("e1", 400 * MILLI);
            assertThat(mTrust.usable("e1", 1_100 * MILLI)).isFalse();
        }

        @Test
        void successRestoresTrust() {
            mTrust.unreachable("e1", 0);
            mTrust.succeeded("e1");

            assertThat(mTrust.usable("e1", 0)).isTrue();
        }

        /** Suspensions that peers pass on to each other would otherwise never end. */
        @Test
        void suspensionsOfPeersAreNotPassedOn() {
            mTrust.suspend("e1", Duration.ofSeconds(1), 0);
            mTrust.unreachable("e2", 0);

            assertThat(mTrust.suspended(0).keySet()).containsExactly("e2");
        }

        @Test
        void slowFirstTokensRaiseSlownessAndFastOnesLowerIt() {
            mTrust.observed("e1", 5);
            double slow = mTrust.slowness("e1");
            mTrust.observed("e1", 1);

            assertThat(slow).isGreaterThan(1.5);
            assertThat(mTrust.slowness("e1")).isLessThan(slow);
        }
    }

    @Nested
    class Repeats {

        @Test
        void neverFollowAnUnknownOutcomeOfAnOrder() {
            RepeatRules rules = new RepeatRules(false, 2);

            assertThat(rules.maySendAgain(Execution.UNKNOWN, 1, 0)).isFalse();
            assertThat(rules.maySendAgain(Execution.NOT_RUN, 0, 1)).isTrue();
            assertThat(rules.maySendAgain(Execution.NOT_RUN, 1, 1)).isFalse();
        }

        @Test
        void stayWithinTheAttemptsOfTheRoute() {
            RepeatRules rules = new RepeatRules(true, 2);

            assertThat(rules.maySendAgain(Execution.UNKNOWN, 1, 0)).isTrue();
            assertThat(rules.maySendAgain(Execution.UNKNOWN, 2, 0)).isFalse();
            assertThat(rules.maySendAgain(Execution.NOT_RUN, 0, 9)).isFalse();
        }
    }

    /** All instances together stay within the budget in every window, whatever comes when. */
    @Property(tries = 300)
    void retriesOfAllInstancesStayWithinTheBudget(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(max = 300) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 5) int instances) {
        double extra = 20;
        double ratio = 0.2;
        Duration window = Duration.ofSeconds(10);
        RetryShare[] shares = new RetryShare[instances];
        for (int i = 0; i < instances; i++) {
            shares[i] = new RetryShare(ratio, extra, window);
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < gaps.size(); i++) {
            now += gaps.get(i) * MILLI;
            RetryShare share = shares[i % instances];
            if (gaps.get(i) % 2 == 0) {
                share.request(now);
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
