package org.tanagergap.gateway.peer;

import io.vertx.core.json.JsonArray;
import java.util.Map;
import org.tanagergap.decisions.fleet.StreamTargets;
import org.tanagergap.decisions.fleet.UpstreamLoad;

/**
 * Load of an upstream in a peer report: requests, those with a short inter-token target, decoding
 * requests, remaining prefill in ms and memory in tokens, followed by a target in ms and its loss
 * for each target. Earlier versions neither send nor read the targets. The targets of requests that
 * wait for their first token are a field of their own, which earlier versions ignore.
 */
final class UpstreamLoadCodec {

    private static final int FIRST_TARGET = 5;

    /** Earlier versions count streams with a target below it, in ms. */
    private static final int EARLIER_SHORT_TARGET_MILLIS = 400;

    /** Target and loss that earlier versions assume for such a stream, in ms. */
    private static final int EARLIER_SHORT_MILLIS = 250;

    private static final double EARLIER_SHORT_LOSS = 1.6;

    /** Target and loss that they assume for other streams, in ms. */
    private static final int EARLIER_OTHER_MILLIS = 600;

    private static final double EARLIER_OTHER_LOSS = 2.5;

    /** Losses are rounded to hundredths. */
    private static final double LOSS_STEPS = 100;

    private UpstreamLoadCodec() {}

    static JsonArray encode(UpstreamLoad load) {
        JsonArray values =
                new JsonArray()
                        .add(load.running())
                        .add(shortTargets(load))
                        .add(load.decoding())
                        .add(Math.round(load.prefillMillis()))
                        .add(load.memoryTokens());
        addTargets(load.targets(), values);
        return values;
    }

    /** Encodes the targets of the requests that wait for their first token. */
    static JsonArray encodePending(UpstreamLoad load) {
        JsonArray values = new JsonArray();
        addTargets(load.pending(), values);
        return values;
    }

    private static void addTargets(StreamTargets targets, JsonArray values) {
        targets.lossByTargetMillis()
                .forEach((target, loss) -> values.add(target).add(Math.round(loss * LOSS_STEPS)));
    }

    private static int shortTargets(UpstreamLoad load) {
        Map<Integer, Double> losses = load.targets().lossByTargetMillis();
        boolean anyShort = losses.keySet().stream().anyMatch(t -> t < EARLIER_SHORT_TARGET_MILLIS);
        return anyShort ? load.running() : 0;
    }

    /** Throws {@link ClassCastException} or another runtime exception for malformed fields. */
    static UpstreamLoad decode(JsonArray values, JsonArray pending) {
        int running = PeerNumbers.count(values.getValue(0));
        int shortTargets = PeerNumbers.count(values.getValue(1));
        return new UpstreamLoad(
                running,
                values.size() > FIRST_TARGET
                        ? targets(values, FIRST_TARGET)
                        : earlierTargets(shortTargets, running - shortTargets),
                PeerNumbers.count(values.getValue(2)),
                PeerNumbers.amount(values.getValue(3)),
                PeerNumbers.amount(values.getValue(4)),
                targets(pending, 0));
    }

    private static StreamTargets targets(JsonArray values, int first) {
        StreamTargets targets = StreamTargets.NONE;
        for (int i = first; i < values.size(); i += 2) {
            int target = PeerNumbers.count(values.getValue(i));
            double loss = PeerNumbers.count(values.getValue(i + 1)) / LOSS_STEPS;
            targets = targets.plus(StreamTargets.of(target, loss));
        }
        return targets;
    }

    private static StreamTargets earlierTargets(int shortTargets, int others) {
        StreamTargets targets = StreamTargets.NONE;
        if (shortTargets > 0) {
            double loss = EARLIER_SHORT_LOSS * shortTargets;
            targets = targets.plus(StreamTargets.of(EARLIER_SHORT_MILLIS, loss));
        }
        if (others > 0) {
            double loss = EARLIER_OTHER_LOSS * others;
            targets = targets.plus(StreamTargets.of(EARLIER_OTHER_MILLIS, loss));
        }
        return targets;
    }
}
