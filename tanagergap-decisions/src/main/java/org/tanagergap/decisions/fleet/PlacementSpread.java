package org.tanagergap.decisions.fleet;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Decides among how many of the cheapest engines those of a long prompt are chosen at random.
 * Instances that see the same load would all choose the same engine until they have heard of each
 * other's requests.
 */
final class PlacementSpread {

    /** Costs this close to the lowest count as equal. */
    private static final double COST_TOLERANCE = 0.003;

    /** Largest cost above the lowest that is accepted for the sake of spreading. */
    private static final double MAX_SPREAD_COST = 0.1;

    /** Engines to choose from for each request that others may place at the same time. */
    private static final double CHOICES_PER_PLACEMENT = 2;

    private PlacementSpread() {}

    /**
     * Returns the number of engines to choose from, from the start of the list.
     *
     * @param sorted engines in ascending order of their cost
     * @param unreported expected number of placements that are not known here yet
     */
    static <T> int choices(List<T> sorted, ToDoubleFunction<T> cost, double unreported) {
        int choices = 0;
        for (T engine : sorted) {
            double above = cost.applyAsDouble(engine) - cost.applyAsDouble(sorted.get(0));
            boolean spread =
                    choices <= CHOICES_PER_PLACEMENT * unreported && above <= MAX_SPREAD_COST;
            if (!spread && above > COST_TOLERANCE) {
                break;
            }
            choices++;
        }
        return choices;
    }
}
