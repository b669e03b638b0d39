package org.tanagergap.decisions.fleet;

/**
 * What a prefill on one engine would mean for its streams and for the request itself, by the
 * engine's cost model and its present load.
 */
final class EngineForecast {

    /**
     * Share of an engine's memory that placements may use; decoding requests grow into the rest.
     */
    private static final double PLANNED_MEMORY_SHARE = 0.95;

    /** Share of a limit from which on the risk of exceeding it rises above zero. */
    private static final double RISK_START_SHARE = 0.7;

    private final UpstreamCandidate mCandidate;
    private final EngineProfile mEngine;

    EngineForecast(UpstreamCandidate candidate) {
        mCandidate = candidate;
        mEngine = candidate.engine().orElseThrow();
    }

    UpstreamCandidate candidate() {
        return mCandidate;
    }

    EngineProfile engine() {
        return mEngine;
    }

    /** Returns the risk that a duration exceeds its limit, from 0 to 1. */
    static double risk(double millis, double limitMillis) {
        if (limitMillis <= 0) {
            return 1;
        }
        double from = RISK_START_SHARE * limitMillis;
        double part = Math.max(0, Math.min(1, (millis - from) / (limitMillis - from)));
        return part * part;
    }

    /** Returns the most memory that requests may use on an engine, in tokens. */
    static double plannedMemory(EngineProfile engine) {
        return PLANNED_MEMORY_SHARE * engine.memoryTokens();
    }

    boolean hasSlot() {
        return mCandidate.load().running() < mCandidate.slots();
    }

    boolean fits(long tokens) {
        return mCandidate.load().memoryTokens() + tokens <= plannedMemory(mEngine);
    }

    /** Share of the slots that are used. */
    double usedSlots() {
        return (double) mCandidate.load().running() / mCandidate.slots();
    }

    /**
     * Returns the expected loss of the streams that run here if the prefill is added, and what it
     * adds to the risk of requests that still wait for their first token.
     */
    double latencyImpact(double prefillMillis) {
        UpstreamLoad load = mCandidate.load();
        double busy = (iterationMillis() + load.prefillMillis()) * mCandidate.slowness();
        double busyThen = busy + prefillMillis * mCandidate.slowness();
        double running = load.targets().expectedLoss(target -> risk(busyThen, target));
        double pending =
                load.pending().expectedLoss(left -> risk(busyThen, left) - risk(busy, left));
        return running + pending;
    }

    /**
     * Predicts the time to the first token: half of the current iteration, the queued prefills,
     * this prefill and the first iteration that decodes the request.
     */
    double firstTokenMillis(double prefillMillis) {
        double iteration = iterationMillis();
        double ownIteration = mEngine.iterationMillis(1, 0);
        double engineMillis =
                iteration / 2
                        + mCandidate.load().prefillMillis()
                        + prefillMillis
                        + Math.max(iteration, ownIteration);
        return engineMillis * mCandidate.slowness() + 2 * mCandidate.delayMillis();
    }

    /** Returns the duration of an iteration with the requests that run here. */
    private double iterationMillis() {
        UpstreamLoad load = mCandidate.load();
        return load.running() == 0
                ? 0
                : mEngine.iterationMillis(load.running(), load.memoryTokens());
    }
}
