package org.tanagergap.gateway.forward;

import java.time.Duration;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.RouteKind;

/** How long an upstream may be silent before the request goes on elsewhere. */
final class UpstreamIdleTimeout {

    /** Beyond the prediction, for what it does not know. */
    private static final double FIRST_EVENT_FACTOR = 2.5;

    private static final Duration MIN_FIRST_EVENT = Duration.ofMillis(900);
    private static final Duration MIN_GAP = Duration.ofMillis(1200);

    /** Plain answers take longer than their aim only when something is wrong. */
    private static final double PLAIN_TARGET_FACTOR = 1.5;

    /** Predictions below this time are too short to compare with, in ms. */
    private static final double MIN_PREDICTION_MILLIS = 60;

    private final Route mRoute;
    private final double mPredictedMillis;

    UpstreamIdleTimeout(Route route, double predictedMillis) {
        mRoute = route;
        mPredictedMillis = predictedMillis;
    }

    Duration timeout(boolean beforeFirstEvent) {
        if (mRoute.kind() != RouteKind.STREAM) {
            return Duration.ofNanos(
                    (long) (mRoute.latencyTarget().toNanos() * PLAIN_TARGET_FACTOR));
        }
        if (beforeFirstEvent) {
            Duration byPrediction =
                    Duration.ofMillis((long) (mPredictedMillis * FIRST_EVENT_FACTOR));
            return MIN_FIRST_EVENT.plus(byPrediction);
        }
        Duration byTarget =
                mRoute.interTokenTarget().map(gap -> gap.multipliedBy(3)).orElse(MIN_GAP);
        return byTarget.compareTo(MIN_GAP) > 0 ? byTarget : MIN_GAP;
    }

    /** Observed time relative to the prediction. */
    double slowness(double observedMillis) {
        return observedMillis / Math.max(MIN_PREDICTION_MILLIS, mPredictedMillis);
    }
}
