package org.tanagergap.decisions.fleet;

import java.time.Duration;
import org.tanagergap.api.request.RequestCost;

/** Estimates how long requests take, from the cost model of their engine. */
public final class DurationEstimate {

    /** Reads and token steps take this much longer beside the work of others. */
    private static final double BESIDE_OTHERS = 1.4;

    /** For connections, waiting and the travel of the answer. */
    private static final Duration OVERHEAD = Duration.ofMillis(300);

    private DurationEstimate() {}

    /** Longest time that a completion usually takes: its output has its full length. */
    public static Duration ofCompletion(RequestCost cost, EngineProfile engine) {
        double read = engine.prefillMillis(cost.promptTokens());
        double write = cost.maxOutputTokens() * engine.decodeStepMillis();
        return OVERHEAD.plusMillis((long) (BESIDE_OTHERS * (read + write)));
    }

    /** Time to the first token on an engine that is busy, but not too busy to begin at once. */
    public static Duration toFirstToken(RequestCost cost, EngineProfile engine) {
        double passes = 2 * engine.iterationMillis(engine.slots() / 2, 0);
        return Duration.ofMillis((long) (engine.prefillMillis(cost.promptTokens()) + passes));
    }

    /** Longest time that a plain call usually takes. */
    public static Duration ofPlainCall(Duration aim) {
        return aim.plus(OVERHEAD);
    }
}
