package org.tanagergap.gateway.forward;

import java.time.Duration;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.RouteKind;

/** How long an upstream may be silent before the request goes on elsewhere. */
final class UpstreamIdleTimeout {

    /** Beyond the prediction, for what it does not know. */
    private static final double FIRST_EVENT_FACTOR = 2.5;

    private static final Duration LEAST_FIRST_EVENT = Duration.ofMillis(900);
    private static final Duration LEAST_GAP = Duration.ofMillis(1200);

    /** Plain answers take longer than their aim only when something is wrong. */
    private static final double PLAIN_AIMS = 1.5;

    /** Predictions below this time are too short to compare with, in ms. */
    private static final double LEAST_PREDICTION_MILLIS = 60;

    private final Route mRoute;
    private final double mPredictedMillis;

    UpstreamIdleTimeout(Route route, double predictedMillis) {
        mRoute = route;
        mPredictedMillis = predictedMillis;
    }

    Duration limit(boolean beforeFirstEvent) {
        if (mRoute.kind() != RouteKind.STREAM) {
            return Duration.ofNanos((long) (mRoute.aim().toNanos() * PLAIN_AIMS));
        }
        if (beforeFirstEvent) {
            Duration byPrediction =
                    Duration.ofMillis((long) (mPredictedMillis * FIRST_EVENT_FACTOR));
            return LEAST_FIRST_EVENT.plus(byPrediction);
        }
        Duration byAim = mRoute.gapAim().map(gap -> gap.multipliedBy(3)).orElse(LEAST_GAP);
        return byAim.compareTo(LEAST_GAP) > 0 ? byAim : LEAST_GAP;
    }

    /** Observed time relative to the prediction. */
    double slowness(double observedMillis) {
        return observedMillis / Math.max(LEAST_PREDICTION_MILLIS, mPredictedMillis);
    }
}
