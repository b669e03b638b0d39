package org.tanagergap.gateway.forward;

import java.time.Duration;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.RouteKind;

/** Time without data from an upstream after which a request continues at another upstream. */
final class UpstreamIdleTimeout {

    /** Applied to the predicted time to the first event, for delays that the prediction omits. */
    private static final double FIRST_EVENT_FACTOR = 2.5;

    private static final Duration MIN_FIRST_EVENT_TIMEOUT = Duration.ofMillis(900);
    private static final Duration MIN_GAP_TIMEOUT = Duration.ofMillis(1200);

    /** Plain calls exceed this multiple of their target only when something is wrong. */
    private static final double PLAIN_TARGET_FACTOR = 1.5;

    /** Shorter predictions are too small for a meaningful ratio and are raised to this value. */
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
            return MIN_FIRST_EVENT_TIMEOUT.plus(byPrediction);
        }
        Duration byTarget =
                mRoute.interTokenTarget().map(gap -> gap.multipliedBy(3)).orElse(MIN_GAP_TIMEOUT);
        return byTarget.compareTo(MIN_GAP_TIMEOUT) > 0 ? byTarget : MIN_GAP_TIMEOUT;
    }

    /** Returns the ratio of the observed time to the prediction. */
    double slowness(double observedMillis) {
        return observedMillis / Math.max(MIN_PREDICTION_MILLIS, mPredictedMillis);
    }
}
