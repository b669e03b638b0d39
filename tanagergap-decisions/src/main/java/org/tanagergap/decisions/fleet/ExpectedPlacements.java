package org.tanagergap.decisions.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Distributes the placements that other instances have not reported over the engines as those
 * instances would, and draws the engine of a request from that distribution. Each step of the
 * distribution goes to the engine that is then the cheapest, so an engine with one free slot gets
 * less than one with four. If all instances draw like this, engines end up with equal expected
 * costs, while instances that choose the cheapest engine all choose the same one.
 */
final class ExpectedPlacements {

    /** Placements that a step adds to an engine, so that two steps stand for one placement. */
    private static final double STEP = 0.5;

    /** Bounds the work of one placement: at most 250 unreported placements are distributed. */
    private static final int MAX_STEPS = 500;

    private ExpectedPlacements() {}

    /** Cost of an engine after a number of unreported placements on it. */
    @FunctionalInterface
    interface CostFunction {
        double cost(int engine, double unreported);
    }

    private record Step(int engine, double unreported, double cost) {}

    /**
     * Returns the number of the engine for a request.
     *
     * @param engines number of engines, at least 1
     * @param unreported expected number of unreported placements on all of them
     */
    static int draw(int engines, double unreported, CostFunction costs, RandomGenerator random) {
        PriorityQueue<Step> cheapest = new PriorityQueue<>(Comparator.comparingDouble(Step::cost));
        for (int i = 0; i < engines; i++) {
            cheapest.add(new Step(i, 0, costs.cost(i, 0)));
        }
        int steps = 1 + (int) Math.min(MAX_STEPS, unreported / STEP);
        int drawn = random.nextInt(steps);
        for (int i = 0; i < drawn; i++) {
            Step step = cheapest.remove();
            double then = step.unreported() + STEP;
            cheapest.add(new Step(step.engine(), then, costs.cost(step.engine(), then)));
        }
        return cheapest.remove().engine();
    }
}
