package org.tanagergap.decisions.stall;

import java.time.Duration;
import java.util.Optional;

/**
 * Time without data from an upstream after which its attempt counts as stalled.
 *
 * @param stream whether the response is a stream of events
 * @param latencyTarget time to the first event, or to a complete response
 * @param interTokenTarget longest time between two events that callers accept
 * @param predictedMillis predicted time to the first event, in ms
 */
public record IdleTimeout(
        boolean stream,
        Duration latencyTarget,
        Optional<Duration> interTokenTarget,
        double predictedMillis) {

    /** Applied to the predicted time to the first event, for delays that the prediction omits. */
    private static final double FIRST_EVENT_FACTOR = 2.5;

    private static final Duration MIN_FIRST_EVENT_TIMEOUT = Duration.ofMillis(900);
    private static final Duration MIN_GAP_TIMEOUT = Duration.ofMillis(1200);
    private static final int GAP_TARGET_FACTOR = 3;

    /** Plain calls exceed this multiple of their target only when something is wrong. */
    private static final double PLAIN_TARGET_FACTOR = 1.5;

    /** Shorter predictions are too small for a meaningful ratio and are raised to this value. */
    private static final double MIN_PREDICTION_MILLIS = 60;

    /** Returns the timeout before or after the first event. */
    public Duration timeout(boolean beforeFirstEvent) {
        if (!stream) {
            return Duration.ofNanos((long) (latencyTarget.toNanos() * PLAIN_TARGET_FACTOR));
        }
        if (beforeFirstEvent) {
            Duration byPrediction =
                    Duration.ofMillis((long) (predictedMillis * FIRST_EVENT_FACTOR));
            return MIN_FIRST_EVENT_TIMEOUT.plus(byPrediction);
        }
        Duration byTarget =
                interTokenTarget
                        .map(gap -> gap.multipliedBy(GAP_TARGET_FACTOR))
                        .orElse(MIN_GAP_TIMEOUT);
        return byTarget.compareTo(MIN_GAP_TIMEOUT) > 0 ? byTarget : MIN_GAP_TIMEOUT;
    }

    /** Returns the ratio of the observed time to the prediction. */
    public double slowness(double observedMillis) {
        return observedMillis / Math.max(MIN_PREDICTION_MILLIS, predictedMillis);
    }
}
