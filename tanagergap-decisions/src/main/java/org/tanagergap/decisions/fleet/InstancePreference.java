package org.tanagergap.decisions.fleet;

import org.tanagergap.decisions.routing.RendezvousHash;

/**
 * Order of the engines that differs for each instance. An instance knows its own placements at
 * once, so instances that prefer different engines learn of fewer placements late. The preference
 * is weak: any instance may use any engine, and short prompts have to stay on few engines, apart
 * from long prefills.
 */
final class InstancePreference {

    /** Cost of the engine that the instance prefers least. */
    private static final double MAX_COST = 0.03;

    private final String mKey;

    InstancePreference(long key) {
        mKey = Long.toString(key);
    }

    /** Returns the cost of an engine to requests of this instance. */
    double cost(String engine) {
        double share = (RendezvousHash.score(mKey, engine) >>> 1) / (double) Long.MAX_VALUE;
        return MAX_COST * share;
    }
}
