package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.PausedClock;

/** Guards the view of the fleet against lapses, rebirths and old configurations. */
final class FleetViewTests {

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final List<String> mEvents = new ArrayList<>();

    private static FleetChange.Member member(String id, boolean leaving, long born) {
        Upstream upstream =
                new Upstream(id, "s", new HostPort("10.0.0.1", 80), "a", 4, leaving, born);
        return new FleetChange.Member(id, Optional.of(upstream), Optional.empty());
    }

    private static FleetChange.Member removed(String id) {
        return new FleetChange.Member(id, Optional.empty(), Optional.empty());
    }

    private static FleetChange.Configured configured(long version) {
        return new FleetChange.Configured(
                new GatewayConfiguration(
                        version, List.of(), Map.of(), CallerLimits.DEFAULT, Optional.empty()));
    }

    @BeforeEach
    void listen() {
        mView.addListener(
                new FleetView.Listener() {
                    @Override
                    public void joined(Upstream upstream) {
                        mEvents.add("joined " + upstream.id());
                    }

                    @Override
                    public void left(Upstream upstream) {
                        mEvents.add("left " + upstream.id());
                    }

                    @Override
                    public void configured(GatewayConfiguration configuration) {
                        mEvents.add("configured " + configuration.version());
                    }
                });
        mView.accept(member("u", false, 1), false);
        mEvents.clear();
    }

    private boolean usable() {
        return !mView.usable("s").isEmpty();
    }

    @Test
    void aLeavingUpstreamIsNotUsable() {
        mView.accept(member("u", true, 1), false);

        assertThat(usable()).isFalse();
        assertThat(mEvents).containsExactly("left u");
    }

    @Test
    void anUpstreamThatIsBornAgainLeavesAndJoins() {
        mView.accept(member("u", false, 2), false);

        assertThat(mEvents).containsExactly("left u", "joined u").inOrder();
    }

    @Test
    void aHeartbeatChangesNothing() {
        mView.accept(member("u", false, 1), false);

        assertThat(mEvents).isEmpty();
    }

    @Test
    void aLapsedEntryIsUsedUntilItsGraceIsOver() {
        mView.accept(removed("u"), true);
        mClock.advance(Duration.ofMillis(2199));
        mView.dropLapsed(false);
        assertThat(usable()).isTrue();

        mClock.advance(Duration.ofMillis(1));
        mView.dropLapsed(false);
        assertThat(usable()).isFalse();
    }

    /** The grace once began anew for each removal that was seen after the return. */
    @Test
    void theGraceCountsFromTheReturnOfTheStore() {
        mView.storeReturned();
        mClock.advance(Duration.ofMillis(1000));
        mView.accept(removed("u"), true);
        mClock.advance(Duration.ofMillis(1200));
        mView.dropLapsed(false);

        assertThat(usable()).isFalse();
    }

    @Test
    void aLapsedEntryThatReturnsStays() {
        mView.accept(removed("u"), true);
        mView.accept(member("u", false, 1), false);
        mClock.advance(Duration.ofSeconds(5));
        mView.dropLapsed(false);

        assertThat(usable()).isTrue();
        assertThat(mEvents).isEmpty();
    }

    @Test
    void noEntryHasLapsedWhenTheStoreServedOthers() {
        mView.accept(removed("u"), true);
        mView.dropLapsed(true);

        assertThat(usable()).isFalse();
    }

    @Test
    void onlyAHigherConfigurationTakesEffect() {
        mView.accept(configured(5), false);
        mView.accept(configured(4), false);
        mView.accept(configured(5), false);
        mView.accept(configured(9), false);

        assertThat(mEvents).containsExactly("configured 5", "configured 9").inOrder();
    }
}
