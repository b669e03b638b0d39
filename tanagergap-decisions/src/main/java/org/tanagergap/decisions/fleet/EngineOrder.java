package org.tanagergap.decisions.fleet;

import java.util.Comparator;
import java.util.List;

/**
 * Common order of the engines of a service, in which short prompts prefer one end and long ones the
 * other. The preference is a share of the order and not a number of positions, so that it is the
 * same for any number of engines.
 */
final class EngineOrder {

    /** Cost of the far end of the order. */
    private static final double MAX_COST = 0.2;

    private final List<EngineForecast> mEngines;
    private final double mCostPerPosition;

    EngineOrder(List<UpstreamCandidate> candidates) {
        mEngines =
                candidates.stream()
                        .filter(c -> c.engine().isPresent())
                        .sorted(Comparator.comparingInt(c -> c.id().hashCode()))
                        .map(EngineForecast::new)
                        .toList();
        mCostPerPosition = MAX_COST / Math.max(1, mEngines.size() - 1);
    }

    List<EngineForecast> engines() {
        return mEngines;
    }

    /** Cost to a short prompt of the engine at a position of the list. */
    double costToShort(int position) {
        return mCostPerPosition * position;
    }

    /** Cost to a long prompt of the engine at a position of the list. */
    double costToLong(int position) {
        return mCostPerPosition * (mEngines.size() - 1 - position);
    }
}
