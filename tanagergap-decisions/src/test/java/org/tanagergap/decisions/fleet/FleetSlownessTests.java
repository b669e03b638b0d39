package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards slow upstreams against being found late, and recovered ones against being avoided. */
final class FleetSlownessTests {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final FleetSlowness mSlowness = new FleetSlowness();
    private final FleetSlowness mPeer = new FleetSlowness();

    @Test
    void aFewObservationsShowASlowUpstream() {
        mSlowness.observed("u", 6, 0);
        assertThat(mSlowness.of("u", 0)).isAtLeast(3.0);

        mSlowness.observed("u", 6, SECOND / 10);
        mSlowness.observed("u", 6, SECOND / 5);

        assertThat(mSlowness.of("u", SECOND / 5)).isAtLeast(4.5);
    }

    /** An instance of a large fleet sends an upstream a request in half a minute. */
    @Test
    void anInstanceLearnsFromItsPeers() {
        mPeer.observed("u", 6, 0);
        mPeer.observed("u", 6, SECOND / 10);

        mSlowness.peerReported("peer", mPeer.reportable(SECOND / 10), SECOND / 5);

        assertThat(mSlowness.of("u", SECOND / 5)).isAtLeast(3.5);
    }

    @Test
    void theLastReportOfAPeerReplacesTheOneBefore() {
        mSlowness.peerReported("peer", Map.of("u", new FleetSlowness.Evidence(3, 6)), 0);

        mSlowness.peerReported("peer", Map.of(), 0);

        assertThat(mSlowness.of("u", 0)).isEqualTo(1.0);
    }

    /** A slow upstream gets no requests that could show its recovery. */
    @Test
    void anUpstreamIsUsedAgainSomeTimeAfterItWasSlow() {
        mSlowness.observed("u", 10, 0);
        mSlowness.observed("u", 10, 0);

        assertThat(mSlowness.of("u", 15 * SECOND)).isLessThan(2.0);
        assertThat(mSlowness.of("u", 30 * SECOND)).isLessThan(1.1);
    }

    @Test
    void aNewUpstreamUnderTheSameIdentifierIsNotSlow() {
        mSlowness.observed("u", 10, 0);
        mSlowness.peerReported("peer", Map.of("u", new FleetSlowness.Evidence(3, 6)), 0);

        mSlowness.remove("u");

        assertThat(mSlowness.of("u", 0)).isEqualTo(1.0);
    }

    @Test
    void upstreamsThatAreAsFastAsPredictedAreNotReported() {
        mSlowness.observed("u", 1.1, 0);

        assertThat(mSlowness.reportable(0)).isEmpty();
    }
}
