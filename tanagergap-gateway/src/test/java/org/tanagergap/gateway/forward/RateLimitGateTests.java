package org.tanagergap.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.ratelimit.RateLimitNotice;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.gateway.membership.ChangeOrigin;
import org.tanagergap.gateway.membership.FleetChange;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.PausedClock;

/** Guards upstreams against the limits of others that had their identifier or address. */
final class RateLimitGateTests {

    private static final Upstream FIRST = upstream("u", 1);
    private static final Upstream RESTARTED = upstream("u", 2);

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final RateLimitGate mGate =
            new RateLimitGate(mClock, "gateway-1", mView, new MetricRegistry(), rate -> 2 * rate);

    private static Upstream upstream(String id, long startedAtMillis) {
        return new Upstream(id, "s", new HostPort("10.0.0.1", 80), "a", 4, false, startedAtMillis);
    }

    private void register(Upstream upstream) {
        mView.accept(
                new FleetChange.UpstreamEntry(
                        upstream.id(), Optional.of(upstream), Optional.empty()),
                ChangeOrigin.WRITE);
    }

    @BeforeEach
    void limitTheFirstIncarnation() {
        register(FIRST);
        mGate.responseReceived(FIRST, new RateLimitNotice.Limited(1));
    }

    @Test
    void aLimitedUpstreamGetsNoRequestWithoutAPermit() {
        assertThat(mGate.maySend(FIRST)).isFalse();
        assertThat(mGate.limits()).containsExactly("u@1", 1.0);
    }

    @Test
    void anUpstreamThatStartsAgainUnderItsIdentifierIsNotLimited() {
        register(RESTARTED);

        assertThat(mGate.maySend(RESTARTED)).isTrue();
    }

    @Test
    void anotherUpstreamAtTheSameAddressIsNotLimited() {
        Upstream other = upstream("v", 1);
        register(other);

        assertThat(mGate.maySend(other)).isTrue();
    }

    /** Peers go on to report the limit until they notice the restart. */
    @Test
    void aReportOfAnIncarnationThatIsGoneIsIgnored() {
        mGate.remove(FIRST);
        register(RESTARTED);
        mGate.accept(
                Map.of(
                        "u@1",
                        new RateLimitObservation(OptionalDouble.of(1), Duration.ofMillis(50))));

        assertThat(mGate.limits()).isEmpty();
    }
}
