package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.gateway.membership.ReplicaProgress;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.PausedClock;

/** Guards the directory of peers against malformed registrations and late changes. */
final class PeerDirectoryTests {

    private static final HostPort PEER = new HostPort("10.0.0.2", 9000);

    private final PeerDirectory mDirectory = new PeerDirectory(new PausedClock(), "g1", List.of());

    private void register(String id, String value) {
        mDirectory.accept(new KeyValue(PeerDirectory.KEY_PREFIX + id, value, 1, 1));
    }

    private void report(String id, long position, long lastChange) {
        mDirectory.reportReceived(
                id,
                new HostPort(id, 9000),
                new ReplicaProgress(
                        new StorePosition(1, position), new StorePosition(1, lastChange)));
    }

    /**
     * Fetching from a peer that is ahead by heartbeats alone delays a change until the next try.
     */
    @Test
    void aChangeIsFetchedFromAPeerThatHasIt() {
        report("g2", 105, 90);
        report("g3", 112, 108);
        report("g4", 108, 90);
        report("g5", 99, 90);

        assertThat(mDirectory.peersAheadOf(new StorePosition(1, 100)))
                .containsExactly(new HostPort("g3", 9000), new HostPort("g4", 9000))
                .inOrder();
        assertThat(mDirectory.peersAheadOf(new StorePosition(1, 110)))
                .containsExactly(new HostPort("g3", 9000));
    }

    @Test
    void malformedRegistrationsAreIgnored() {
        register("g2", PeerDirectory.registrationValue(PEER));
        List<String> malformed =
                List.of(
                        "x",
                        "null",
                        "[]",
                        "{}",
                        "{\"address\":null}",
                        "{\"address\":7}",
                        "{\"address\":{}}",
                        "{\"address\":\"10.0.0.3:0\"}",
                        "{\"address\":\"10.0.0.3:65536\"}",
                        "{\"address\":\"10.0.0.3:1e400\"}",
                        "{\"address\":\"x y:80\"}",
                        "{\"a\":".repeat(900) + "1" + "}".repeat(900));
        for (int i = 0; i < malformed.size(); i++) {
            register("malformed-" + i, malformed.get(i));
        }

        assertThat(mDirectory.addresses()).containsExactly(PEER);
    }
}
