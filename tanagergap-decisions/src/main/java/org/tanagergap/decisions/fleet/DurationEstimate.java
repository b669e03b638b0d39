package org.tanagergap.decisions.fleet;

import java.time.Duration;
import org.tanagergap.api.request.RequestCost;

/** Longest time that a request usually takes, for an instance that is about to end. */
public final class DurationEstimate {

    /** Reads and token steps take this much longer beside the work of others. */
    private static final double BESIDE_OTHERS = 1.4;

    /** For connections, waiting and the travel of the answer. */
    private static final Duration OVERHEAD = Duration.ofMillis(300);

    private DurationEstimate() {}

    /** Estimate for a completion whose output has its full length. */
    public static Duration ofCompletion(RequestCost cost, EngineProfile engine) {
        double read = engine.readMillis(cost.promptTokens());
        double write = cost.maxOutputTokens() * engine.stepMillis();
        return OVERHEAD.plusMillis((long) (BESIDE_OTHERS * (read + write)));
    }

    /** Estimate for a plain call, from the time within which its answer is on time. */
    public static Duration ofPlainCall(Duration aim) {
        return aim.plus(OVERHEAD);
    }
}
