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

/** Guards the view of the fleet against expired entries, restarts and old configurations. */
final class FleetViewTests {

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final List<String> mEvents = new ArrayList<>();
    private final List<String> mDrainEvents = new ArrayList<>();

    private static FleetChange.UpstreamEntry entry(
            String id, boolean draining, long startedAtMillis) {
        Upstream upstream =
                new Upstream(
                        id, "s", new HostPort("10.0.0.1", 80), "a", 4, draining, startedAtMillis);
        return new FleetChange.UpstreamEntry(id, Optional.of(upstream), Optional.empty());
    }

    private static FleetChange.UpstreamEntry removed(String id) {
        return new FleetChange.UpstreamEntry(id, Optional.empty(), Optional.empty());
    }

    private static FleetChange.ConfigurationAccepted configurationAccepted(long version) {
        return new FleetChange.ConfigurationAccepted(
                new GatewayConfiguration(
                        version, List.of(), Map.of(), CallerLimits.DEFAULT, Optional.empty()));
    }

    @BeforeEach
    void listen() {
        mView.addListener(
                new FleetView.Listener() {
                    @Override
                    public void upstreamAvailable(Upstream upstream) {
                        mEvents.add("available " + upstream.id());
                    }

                    @Override
                    public void upstreamUnavailable(Upstream upstream) {
                        mEvents.add("unavailable " + upstream.id());
                    }

                    @Override
                    public void upstreamDrained(Upstream upstream) {
                        mEvents.add("unavailable " + upstream.id());
                        mDrainEvents.add("drained " + upstream.id());
                    }

                    @Override
                    public void upstreamDrainEnded(Upstream upstream) {
                        mEvents.add("available " + upstream.id());
                        mDrainEvents.add("drain ended " + upstream.id());
                    }

                    @Override
                    public void configurationChanged(GatewayConfiguration configuration) {
                        mEvents.add("configured " + configuration.version());
                    }
                });
        mView.accept(entry("u", false, 1), ChangeOrigin.WRITE);
        mEvents.clear();
    }

    private boolean usable() {
        return !mView.usable("s").isEmpty();
    }

    private void drain(boolean drained) {
        mView.accept(new FleetChange.DomainDrain("a", drained), ChangeOrigin.WRITE);
    }

    @Test
    void anUpstreamOfADrainedDomainIsNotUsableUntilTheDrainEnds() {
        drain(true);

        assertThat(usable()).isFalse();
        assertThat(mView.isDrained("s")).isTrue();
        assertThat(mView.drainedDomains()).containsExactly("a");

        drain(false);

        assertThat(usable()).isTrue();
        assertThat(mView.isDrained("s")).isFalse();
        assertThat(mEvents).containsExactly("unavailable u", "available u").inOrder();
    }

    /** A drained upstream was taken for one that is gone, and its rate limit was forgotten. */
    @Test
    void aDrainedUpstreamIsNotGone() {
        drain(true);
        drain(false);

        assertThat(mDrainEvents).containsExactly("drained u", "drain ended u").inOrder();
    }

    /** Limits of the earlier incarnation would stay known forever. */
    @Test
    void aRestartInADrainedDomainEndsTheEarlierIncarnation() {
        drain(true);
        mEvents.clear();

        mView.accept(entry("u", false, 2), ChangeOrigin.WRITE);

        assertThat(mEvents).containsExactly("unavailable u");
        assertThat(usable()).isFalse();
    }

    @Test
    void anUpstreamThatJoinsADrainedDomainIsNotUsable() {
        drain(true);
        mEvents.clear();

        mView.accept(entry("new", false, 2), ChangeOrigin.WRITE);

        assertThat(usable()).isFalse();
        assertThat(mEvents).isEmpty();
    }

    @Test
    void aDrainingUpstreamStaysUnusableAfterTheDrainOfItsDomain() {
        drain(true);
        mView.accept(entry("u", true, 1), ChangeOrigin.WRITE);
        drain(false);

        assertThat(usable()).isFalse();
        assertThat(mEvents).containsExactly("unavailable u");
    }

    /** Peers fetch changes only if the view reports one. */
    @Test
    void aDrainOfADomainCountsAsAChange() {
        long before = mView.changes();

        drain(true);
        drain(true);

        assertThat(mView.changes()).isEqualTo(before + 1);
    }

    @Test
    void aDrainingUpstreamIsNotUsable() {
        mView.accept(entry("u", true, 1), ChangeOrigin.WRITE);

        assertThat(usable()).isFalse();
        assertThat(mEvents).containsExactly("unavailable u");
    }

    @Test
    void aRestartedUpstreamBecomesUnavailableThenAvailable() {
        mView.accept(entry("u", false, 2), ChangeOrigin.WRITE);

        assertThat(mEvents).containsExactly("unavailable u", "available u").inOrder();
    }

    @Test
    void aHeartbeatChangesNothing() {
        mView.accept(entry("u", false, 1), ChangeOrigin.WRITE);

        assertThat(mEvents).isEmpty();
    }

    @Test
    void anExpiredEntryIsUsedDuringItsGracePeriod() {
        mView.accept(removed("u"), ChangeOrigin.OUTAGE);
        mClock.advance(Duration.ofMillis(2199));
        assertThat(usable()).isTrue();

        mClock.advance(Duration.ofMillis(1));
        assertThat(usable()).isFalse();
    }

    /** The grace period once restarted for each removal that was seen after the recovery. */
    @Test
    void theGracePeriodBeginsAtTheRecoveryOfTheStore() {
        mView.storeRecovered(mClock.nanoTime());
        mClock.advance(Duration.ofMillis(1000));
        mView.accept(removed("u"), ChangeOrigin.OUTAGE);
        mClock.advance(Duration.ofMillis(1200));

        assertThat(usable()).isFalse();
    }

    @Test
    void anExpiredEntryThatIsWrittenAgainStays() {
        mView.accept(removed("u"), ChangeOrigin.OUTAGE);
        mView.accept(entry("u", false, 1), ChangeOrigin.WRITE);
        mClock.advance(Duration.ofSeconds(5));

        assertThat(usable()).isTrue();
        assertThat(mEvents).isEmpty();
    }

    @Test
    void onlyAHigherConfigurationTakesEffect() {
        mView.accept(configurationAccepted(5), ChangeOrigin.WRITE);
        mView.accept(configurationAccepted(4), ChangeOrigin.WRITE);
        mView.accept(configurationAccepted(5), ChangeOrigin.WRITE);
        mView.accept(configurationAccepted(9), ChangeOrigin.WRITE);

        assertThat(mEvents).containsExactly("configured 5", "configured 9").inOrder();
    }

    /** The contents of a restored store can be from before the upstream left. */
    @Test
    void anUpstreamThatHasLeftDoesNotReturnWithTheContentsOfARestoredStore() {
        mView.accept(removed("u"), ChangeOrigin.WRITE);
        mView.accept(entry("u", false, 1), ChangeOrigin.RESTORE);

        assertThat(usable()).isFalse();
    }

    @Test
    void anUpstreamThatWasRemovedReturnsWhenItWritesItsEntryAgain() {
        mView.accept(removed("u"), ChangeOrigin.WRITE);
        mView.accept(entry("u", false, 1), ChangeOrigin.RESTORE);
        mView.accept(entry("u", false, 1), ChangeOrigin.WRITE);

        assertThat(usable()).isTrue();
    }

    @Test
    void aDrainingUpstreamIsNeverUsedAgain() {
        mView.accept(entry("u", true, 1), ChangeOrigin.WRITE);
        mView.accept(entry("u", false, 1), ChangeOrigin.RESTORE);
        mView.accept(entry("u", false, 1), ChangeOrigin.WRITE);

        assertThat(usable()).isFalse();
    }

    @Test
    void anUpstreamThatStartsAgainAfterItsDrainIsUsed() {
        mView.accept(entry("u", true, 1), ChangeOrigin.WRITE);
        mView.accept(entry("u", false, 2), ChangeOrigin.WRITE);

        assertThat(usable()).isTrue();
    }

    @Test
    void anUpstreamWithoutStartTimeReturnsAfterItsDrain() {
        mView.accept(entry("u", true, 0), ChangeOrigin.WRITE);
        mView.accept(entry("u", false, 0), ChangeOrigin.WRITE);

        assertThat(usable()).isTrue();
    }

    @Test
    void anEntryThatARestoredStoreLacksIsUsedDuringItsGracePeriod() {
        mView.accept(removed("u"), ChangeOrigin.RESTORE);

        assertThat(usable()).isTrue();
    }
}
