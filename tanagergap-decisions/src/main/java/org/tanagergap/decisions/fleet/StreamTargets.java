package org.tanagergap.decisions.fleet;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

/**
 * Latency targets of the streams at an upstream, with the loss if they miss them.
 *
 * @param lossByTargetMillis sum of the losses of all streams with a target, by the target in ms;
 *     not to be modified
 */
public record StreamTargets(SortedMap<Integer, Double> lossByTargetMillis) {

    /** Longer targets are never missed before the deadline of a request, in ms. */
    private static final int MAX_TARGET_MILLIS = 1_000_000;

    public static final StreamTargets NONE = new StreamTargets(new TreeMap<>());

    /** Returns the target of one stream. */
    public static StreamTargets of(double targetMillis, double loss) {
        SortedMap<Integer, Double> losses = new TreeMap<>();
        losses.put((int) Math.min(MAX_TARGET_MILLIS, Math.round(targetMillis)), loss);
        return new StreamTargets(losses);
    }

    public StreamTargets plus(StreamTargets other) {
        if (other.lossByTargetMillis.isEmpty()) {
            return this;
        }
        if (lossByTargetMillis.isEmpty()) {
            return other;
        }
        SortedMap<Integer, Double> sum = new TreeMap<>(lossByTargetMillis);
        other.lossByTargetMillis.forEach((target, loss) -> sum.merge(target, loss, Double::sum));
        return new StreamTargets(sum);
    }

    /**
     * Returns the expected loss of all streams.
     *
     * @param riskByTarget risk that a stream misses its target, from 0 to 1, by the target in ms
     */
    public double expectedLoss(IntToDoubleFunction riskByTarget) {
        double sum = 0;
        for (var entry : lossByTargetMillis.entrySet()) {
            sum += entry.getValue() * riskByTarget.applyAsDouble(entry.getKey());
        }
        return sum;
    }
}
