package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards upstreams that go on after a stall against suspensions that peers keep. */
final class PeerSuspensionTests {

    private static final Duration SUSPENSION = Duration.ofSeconds(4);

    private final UpstreamHealth mHealth = new UpstreamHealth();

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private void reported(String peer, Map<String, Duration> suspended, long nowMillis) {
        mHealth.peerReported(peer, suspended, millis(nowMillis));
    }

    @Test
    void anUpstreamThatAPeerSuspendsIsNotUsed() {
        reported("p1", Map.of("e1", SUSPENSION), 0);

        assertThat(mHealth.isUsable("e1", millis(3999))).isFalse();
        assertThat(mHealth.isUsable("e1", millis(4000))).isTrue();
    }

    @Test
    void anUpstreamIsUsableAgainWhenItsPeerNoLongerSuspendsIt() {
        reported("p1", Map.of("e1", SUSPENSION), 0);
        reported("p1", Map.of(), 100);

        assertThat(mHealth.isUsable("e1", millis(100))).isTrue();
    }

    @Test
    void aSuspensionOfAnotherPeerStays() {
        reported("p1", Map.of("e1", SUSPENSION), 0);
        reported("p2", Map.of("e1", Duration.ofSeconds(1)), 0);
        reported("p1", Map.of(), 100);

        assertThat(mHealth.isUsable("e1", millis(100))).isFalse();
        assertThat(mHealth.isUsable("e1", millis(1000))).isTrue();
    }

    @Test
    void aSuspensionThatWasFoundLocallyStays() {
        mHealth.unreachable("e1", 0);
        reported("p1", Map.of("e1", SUSPENSION), 0);
        reported("p1", Map.of(), 100);

        assertThat(mHealth.isUsable("e1", millis(100))).isFalse();
    }

    @Test
    void suspensionsOfPeersAreNotReportedAgain() {
        reported("p1", Map.of("e1", SUSPENSION), 0);

        assertThat(mHealth.suspended(0)).isEmpty();
    }

    @Test
    void aResponseEndsTheSuspensionsOfPeers() {
        reported("p1", Map.of("e1", SUSPENSION), 0);
        mHealth.succeeded("e1");

        assertThat(mHealth.isUsable("e1", 0)).isTrue();
    }
}
