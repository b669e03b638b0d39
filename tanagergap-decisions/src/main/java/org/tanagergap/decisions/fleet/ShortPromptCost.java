package org.tanagergap.decisions.fleet;

/** Cost of one short prompt on the engines that could serve it. */
final class ShortPromptCost {

    /** Cost of a full engine to a short prompt; grows with the cube of its utilization. */
    private static final double UTILIZATION_COST = 0.3;

    /**
     * Share of the loss that is expected if the last free slot is taken on arrival and the engine
     * queues the request. A queued request still meets its target if a slot is freed in time.
     */
    private static final double SLOT_TAKEN_LOSS_SHARE = 0.5;

    /**
     * Cost of each unreported placement that is expected on an engine, since their actual number
     * varies. Without it, placements concentrate on the few engines that look cheapest in old
     * reports.
     */
    private static final double UNREPORTED_COST = 0.2;

    private static final double DELAY_COST_PER_MILLI = 0.002;

    private final PlacementRequest mRequest;

    ShortPromptCost(PlacementRequest request) {
        mRequest = request;
    }

    /**
     * Returns the cost of an engine.
     *
     * @param preferenceCost cost of its place in the order of the engines
     * @param unreported expected number of unreported placements on it, which are assumed to be
     *     prompts like this one
     */
    double cost(EngineForecast engine, double preferenceCost, double unreported) {
        UpstreamCandidate candidate = engine.candidate();
        double prefill =
                engine.engine().prefillMillis(mRequest.cost().promptTokens()) * (1 + unreported);
        double first = engine.firstTokenMillis(prefill);
        double used = engine.usedSlots() + unreported / candidate.slots();
        int free = candidate.slots() - candidate.load().running();
        return engine.latencyImpact(prefill)
                + mRequest.loss() * EngineForecast.risk(first, mRequest.firstTokenSlackMillis())
                + UTILIZATION_COST * used * used * used
                + SLOT_TAKEN_LOSS_SHARE * mRequest.loss() * slotsTakenRisk(free, unreported)
                + preferenceCost
                + UNREPORTED_COST * unreported
                + DELAY_COST_PER_MILLI * candidate.delayMillis();
    }

    /**
     * Returns the probability that unreported placements have taken all free slots. Instances place
     * independently of each other, so their number is Poisson distributed.
     */
    static double slotsTakenRisk(int free, double unreported) {
        double probability = Math.exp(-unreported);
        double below = 0;
        for (int placements = 0; placements < free; placements++) {
            below += probability;
            probability *= unreported / (placements + 1);
        }
        return Math.max(0, 1 - below);
    }
}
