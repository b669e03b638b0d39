package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.decisions.quarantine.EngineCrash;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.gateway.membership.ReplicaProgress;

/** Guards reports of peers against damaged datagrams. */
final class PeerReportTests {

    private static final PeerReport REPORT =
            new PeerReport(
                    "gateway-1",
                    new ReplicaProgress(77, 70),
                    Map.of("e1", new UpstreamLoad(3, 2, 1, 40, 15_000)),
                    Map.of("e2", 400L),
                    new QuarantineUpdate(
                            List.of(
                                    new EngineCrash(
                                            "e3@5", "r1", List.of("p1"), Duration.ofMillis(80))),
                            Map.of("p2", Duration.ofMillis(20)),
                            Map.of("p3", Duration.ofMillis(9000))));

    @Test
    void aReportIsDecodedAsItWasEncoded() {
        assertThat(PeerReport.decode(REPORT.encode())).isEqualTo(Optional.of(REPORT));
    }

    @Test
    void otherDatagramsAreRejected() {
        assertThat(PeerReport.decode(Buffer.buffer("nonsense"))).isEqualTo(Optional.empty());
        assertThat(PeerReport.decode(Buffer.buffer("{}"))).isEqualTo(Optional.empty());
        assertThat(PeerReport.decode(Buffer.buffer("[1]"))).isEqualTo(Optional.empty());
    }

    /** An exception in the decoder would reach the event loop. */
    @Property(tries = 2000)
    void aDamagedDatagramNeverThrows(
            @ForAll @IntRange(min = 0, max = 200) int position, @ForAll byte value) {
        byte[] bytes = REPORT.encode().getBytes();
        bytes[position % bytes.length] = value;

        assertThat(PeerReport.decode(Buffer.buffer(bytes))).isNotNull();
    }

    @Property(tries = 500)
    void randomBytesNeverThrow(@ForAll byte[] bytes) {
        assertThat(PeerReport.decode(Buffer.buffer(bytes))).isNotNull();
    }
}
