package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
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

/** Guards the handler of datagrams against numbers whose sums or nanoseconds overflow. */
final class PeerNumbersTests {

    private static final PeerReport REPORT =
            new PeerReport(
                    "g1",
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
                            new RateLimitObservation(
                                    OptionalDouble.of(1.5), Duration.ofMillis(30))));

    private static final PermitMessage PERMITS =
            new PermitMessage("g1", Map.of("e4@1", 2), Map.of("e5@1", new PermitGrant(1, 0.5)));

    private static final List<String> MALFORMED =
            List.of("1e400", "-1e400", "9999999999999999999999", "null", "\"1\"", "{}", "[]");

    /** Texts of a datagram in each of which one number is replaced. */
    private static List<String> withEachNumberReplaced(Buffer datagram, String replacement) {
        List<String> texts = new ArrayList<>();
        int numbers = numbers(datagram.toJsonObject(), -1);
        for (int i = 0; i < numbers; i++) {
            JsonObject json = datagram.toJsonObject();
            numbers(json, i);
            texts.add(json.encode().replace("\"REPLACED\"", replacement));
        }
        return texts;
    }

    /** Counts the numbers of an object or array and replaces the one with the index. */
    private static int numbers(Object container, int index) {
        int count = 0;
        if (container instanceof JsonObject object) {
            for (String field : List.copyOf(object.fieldNames())) {
                Object value = object.getValue(field);
                if (value instanceof Number) {
                    if (count++ == index) {
                        object.put(field, "REPLACED");
                    }
                } else {
                    count += numbers(value, index - count);
                }
            }
        } else if (container instanceof JsonArray array) {
            for (int i = 0; i < array.size(); i++) {
                Object value = array.getValue(i);
                if (value instanceof Number) {
                    if (count++ == index) {
                        array.set(i, "REPLACED");
                    }
                } else {
                    count += numbers(value, index - count);
                }
            }
        }
        return count;
    }

    @Test
    void aDatagramWithANumberOutOfRangeIsRejected() {
        List<String> accepted = new ArrayList<>();
        for (Buffer datagram : List.of(REPORT.encode(), PERMITS.encode())) {
            for (String number : MALFORMED) {
                for (String text : withEachNumberReplaced(datagram, number)) {
                    if (PeerDatagram.decode(Buffer.buffer(text)).isPresent()) {
                        accepted.add(text);
                    }
                }
            }
        }

        assertThat(accepted).isEmpty();
    }

    @Test
    void deeplyNestedDatagramsAreRejected() {
        String nested = "{\"a\":".repeat(900) + "1" + "}".repeat(900);

        assertThat(PeerDatagram.decode(Buffer.buffer(nested)).isPresent()).isFalse();
    }
}
