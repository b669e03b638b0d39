package org.tanagergap.decisions.fleet;

import java.time.Duration;
import org.tanagergap.api.request.RequestCost;

/** Estimates the duration of requests from the cost model of their engine. */
public final class DurationEstimate {

    /** Slowdown of prefill and decode steps when the engine serves other requests as well. */
    private static final double CONTENTION_FACTOR = 1.4;

    /** Allowance for connection setup, queueing and the transfer of the response. */
    private static final Duration OVERHEAD = Duration.ofMillis(300);

    private DurationEstimate() {}

    /** Returns the usual upper bound of a completion, which generates its maximum output. */
    public static Duration ofCompletion(RequestCost cost, EngineProfile engine) {
        double prefill = engine.prefillMillis(cost.promptTokens());
        double decode = cost.maxOutputTokens() * engine.decodeStepMillis();
        return OVERHEAD.plusMillis((long) (CONTENTION_FACTOR * (prefill + decode)));
    }

    /**
     * Returns the time to the first token on an engine that decodes with half of its slots and
     * starts the prefill at once.
     */
    public static Duration toFirstToken(RequestCost cost, EngineProfile engine) {
        double iterations = 2 * engine.iterationMillis(engine.slots() / 2, 0);
        return Duration.ofMillis((long) (engine.prefillMillis(cost.promptTokens()) + iterations));
    }

    /** Returns the usual upper bound of a plain call. */
    public static Duration ofPlainCall(Duration target) {
        return target.plus(OVERHEAD);
    }
}
