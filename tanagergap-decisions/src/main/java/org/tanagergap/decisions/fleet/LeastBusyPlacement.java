package org.tanagergap.decisions.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the plain service instance with the lowest share of used slots and prefers nearer ones.
 */
public final class LeastBusyPlacement implements PlacementPolicy {

    private static final double DELAY_WEIGHT_PER_MILLI = 0.01;

    private final RandomGenerator mRandom;

    public LeastBusyPlacement(RandomGenerator random) {
        mRandom = random;
    }

    @Override
    public Optional<Placement> choose(
            PlacementRequest request, List<UpstreamCandidate> candidates) {
        return candidates.stream()
                .filter(c -> c.load().running() < c.slots())
                .map(c -> new Scored(c, score(c)))
                .min(Comparator.comparingDouble(Scored::score))
                .map(s -> new Placement(s.candidate().id(), List.of(), 0, 0));
    }

    private record Scored(UpstreamCandidate candidate, double score) {}

    private double score(UpstreamCandidate candidate) {
        double busy = (double) candidate.load().running() / candidate.slots();
        return busy * candidate.slowness()
                + candidate.delayMillis() * DELAY_WEIGHT_PER_MILLI
                + mRandom.nextDouble() * DELAY_WEIGHT_PER_MILLI;
    }
}
