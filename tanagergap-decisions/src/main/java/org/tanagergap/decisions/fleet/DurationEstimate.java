package org.tanagergap.decisions.fleet;

import java.time.Duration;
import org.tanagergap.api.request.RequestCost;

/** Estimates how long requests take, from the cost model of their engine. */
public final class DurationEstimate {

    /** Reads and token steps take this much longer beside the work of others. */
    private static final double CONTENTION_FACTOR = 1.4;

    /** For connections, waiting and the travel of the answer. */
    private static final Duration OVERHEAD = Duration.ofMillis(300);

    private DurationEstimate() {}

    /** Longest time that a completion usually takes: its output has its full length. */
    public static Duration ofCompletion(RequestCost cost, EngineProfile engine) {
        double prefill = engine.prefillMillis(cost.promptTokens());
        double decode = cost.maxOutputTokens() * engine.decodeStepMillis();
        return OVERHEAD.plusMillis((long) (CONTENTION_FACTOR * (prefill + decode)));
    }

    /** Time to the first token on an engine that is busy, but not too busy to begin at once. */
    public static Duration toFirstToken(RequestCost cost, EngineProfile engine) {
        double iterations = 2 * engine.iterationMillis(engine.slots() / 2, 0);
        return Duration.ofMillis((long) (engine.prefillMillis(cost.promptTokens()) + iterations));
    }

    /** Longest time that a plain call usually takes. */
    public static Duration ofPlainCall(Duration target) {
        return target.plus(OVERHEAD);
    }
}
