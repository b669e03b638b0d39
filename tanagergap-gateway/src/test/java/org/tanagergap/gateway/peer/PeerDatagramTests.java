package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.fleet.FleetSlowness;
import org.tanagergap.decisions.fleet.StreamTargets;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.decisions.quarantine.EngineCrash;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.decisions.ratelimit.PermitGrant;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.gateway.membership.ReplicaProgress;

/** Guards an instance against damaged datagrams of its peers. */
final class PeerDatagramTests {

    private static final PeerReport REPORT =
            new PeerReport(
                    "gateway-1",
                    new ReplicaProgress(new StorePosition(2, 77), new StorePosition(2, 70)),
                    Optional.of(new PeerRead("a", Optional.of(Duration.ofMillis(90)), true)),
                    Map.of(
                            "e1",
                            new UpstreamLoad(
                                    3,
                                    StreamTargets.of(250, 1.6),
                                    1,
                                    40,
                                    15_000,
                                    StreamTargets.of(300, 1.5))),
                    Map.of("e6", new FleetSlowness.Evidence(1.5, 4)),
                    Map.of("e2", 400L),
                    new QuarantineUpdate(
                            List.of(
                                    new EngineCrash(
                                            "e3@5", "r1", List.of("p1"), Duration.ofMillis(80))),
                            Map.of("p2", Duration.ofMillis(20)),
                            Map.of("p3", Duration.ofMillis(9000))),
                    Map.of(
                            "e4@1",
                            new RateLimitObservation(OptionalDouble.of(1.5), Duration.ofMillis(30)),
                            "e5@1",
                            new RateLimitObservation(
                                    OptionalDouble.empty(), Duration.ofMillis(40))));

    private static final PermitMessage PERMITS =
            new PermitMessage(
                    "gateway-1", Map.of("e4@1", 2), Map.of("e5@1", new PermitGrant(1, 0.5)));

    @Test
    void aReportIsDecodedAsItWasEncoded() {
        assertThat(PeerDatagram.decode(REPORT.encode())).isEqualTo(Optional.of(REPORT));
    }

    /** A rolling update must not make gateways of one version deaf to the other. */
    @Test
    void aReportOfAnEarlierVersionHasNoReadOfTheStore() {
        JsonObject earlier = REPORT.encode().toJsonObject();
        earlier.remove("store_read");

        PeerReport report = (PeerReport) PeerDatagram.decode(earlier.toBuffer()).orElseThrow();
        assertThat(report.storeRead()).isEqualTo(Optional.empty());
        assertThat(report.progress()).isEqualTo(REPORT.progress());
    }

    /** A read in the future would count as recent for good. */
    @Test
    void aReadInTheFutureIsRejected() {
        JsonObject report = REPORT.encode().toJsonObject();
        report.getJsonObject("store_read").put("ago_ms", -1);

        assertThat(PeerDatagram.decode(report.toBuffer())).isEqualTo(Optional.empty());
    }

    @Test
    void permitsAreDecodedAsTheyWereEncoded() {
        assertThat(PeerDatagram.decode(PERMITS.encode())).isEqualTo(Optional.of(PERMITS));
    }

    @Test
    void valuesThatAreNoLimitAreRejected() {
        String limits = "\"rate_limits\":{\"e4@1\":[30,1.5]";
        String report = singleLimit().encode().toString();

        assertThat(report).contains(limits);
        for (String value : List.of("-1", "\"x\"", "null", "1e999")) {
            String damaged = report.replace("[30,1.5]", "[30," + value + "]");
            assertThat(PeerDatagram.decode(Buffer.buffer(damaged))).isEqualTo(Optional.empty());
        }
    }

    @Test
    void otherDatagramsAreRejected() {
        assertThat(PeerDatagram.decode(Buffer.buffer("nonsense"))).isEqualTo(Optional.empty());
        assertThat(PeerDatagram.decode(Buffer.buffer("{}"))).isEqualTo(Optional.empty());
        assertThat(PeerDatagram.decode(Buffer.buffer("[1]"))).isEqualTo(Optional.empty());
    }

    /** An exception in the decoder would reach the event loop. */
    @Property(tries = 2000)
    void aDamagedDatagramNeverThrows(
            @ForAll @IntRange(min = 0, max = 300) int position,
            @ForAll byte value,
            @ForAll boolean permits) {
        byte[] bytes = (permits ? PERMITS : REPORT).encode().getBytes();
        bytes[position % bytes.length] = value;

        assertThat(PeerDatagram.decode(Buffer.buffer(bytes))).isNotNull();
    }

    private static PeerReport singleLimit() {
        return new PeerReport(
                "gateway-1",
                new ReplicaProgress(new StorePosition(2, 77), new StorePosition(2, 70)),
                Optional.of(new PeerRead("a", Optional.of(Duration.ofMillis(90)), true)),
                Map.of(),
                Map.of(),
                Map.of(),
                QuarantineUpdate.NONE,
                Map.of(
                        "e4@1",
                        new RateLimitObservation(OptionalDouble.of(1.5), Duration.ofMillis(30))));
    }

    @Property(tries = 500)
    void randomBytesNeverThrow(@ForAll byte[] bytes) {
        assertThat(PeerDatagram.decode(Buffer.buffer(bytes))).isNotNull();
    }
}
