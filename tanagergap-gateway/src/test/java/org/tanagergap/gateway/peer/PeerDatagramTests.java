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
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.gateway.membership.ReplicaProgress;

/** Guards an instance against damaged datagrams of its peers. */
final class PeerDatagramTests {

    @Test
    void aReportIsDecodedAsItWasEncoded() {
        assertThat(PeerDatagram.decode(SampleDatagrams.REPORT.encode()))
                .isEqualTo(Optional.of(SampleDatagrams.REPORT));
    }

    /** A rolling update must not make gateways of one version deaf to the other. */
    @Test
    void aReportOfAnEarlierVersionHasNoReadOfTheStore() {
        JsonObject earlier = SampleDatagrams.REPORT.encode().toJsonObject();
        earlier.remove("store_read");

        PeerReport report = (PeerReport) PeerDatagram.decode(earlier.toBuffer()).orElseThrow();
        assertThat(report.storeRead()).isEqualTo(Optional.empty());
        assertThat(report.progress()).isEqualTo(SampleDatagrams.REPORT.progress());
    }

    /** A read in the future would count as recent for good. */
    @Test
    void aReadInTheFutureIsRejected() {
        JsonObject report = SampleDatagrams.REPORT.encode().toJsonObject();
        report.getJsonObject("store_read").put("ago_ms", -1);

        assertThat(PeerDatagram.decode(report.toBuffer())).isEqualTo(Optional.empty());
    }

    @Test
    void permitsAreDecodedAsTheyWereEncoded() {
        assertThat(PeerDatagram.decode(SampleDatagrams.PERMITS.encode()))
                .isEqualTo(Optional.of(SampleDatagrams.PERMITS));
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
        byte[] bytes =
                (permits ? SampleDatagrams.PERMITS : SampleDatagrams.REPORT).encode().getBytes();
        bytes[position % bytes.length] = value;

        assertThat(PeerDatagram.decode(Buffer.buffer(bytes))).isNotNull();
    }

    private static PeerReport singleLimit() {
        return new PeerReport(
                "gateway-1",
                new ReplicaProgress(new StorePosition(2, 77), new StorePosition(2, 70)),
                Optional.of(new PeerRead("a", Optional.of(Duration.ofMillis(90)), true, 2)),
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
