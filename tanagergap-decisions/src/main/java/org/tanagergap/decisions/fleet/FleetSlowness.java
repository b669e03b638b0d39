package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Slowness of each upstream: times to the first token relative to their predictions, as observed by
 * this instance and its peers. Each observation counts less the older it is, so that an upstream
 * that is used little is found slow after a few requests of any instance, and is used again some
 * seconds after it was last seen slow. Confined to the event loop.
 */
public final class FleetSlowness {

    /** Time after which an observation counts half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(3);

    /** Weight, in observations, of the assumption that an upstream is as fast as predicted. */
    private static final double PRIOR_WEIGHT = 1;

    private static final double MAX_SLOWNESS = 10;

    /** Smaller averages are left out of reports, as predictions are not exact. */
    private static final double MIN_REPORTED_SLOWNESS = 1.3;

    /** Evidence that weighs less is left out of reports. */
    private static final double MIN_REPORTED_WEIGHT = 0.1;

    private final Map<String, Observed> mLocal = new HashMap<>();
    private final Map<String, Map<String, Observed>> mPeers = new HashMap<>();
    private final Map<String, Set<String>> mReportedByPeer = new HashMap<>();

    /**
     * Observations of one upstream.
     *
     * @param weight number of observations, each reduced by its age
     * @param slowness their weighted average, at least 1
     */
    public record Evidence(double weight, double slowness) {}

    private record Observed(Evidence evidence, long nanos) {

        private double weight(long nowNanos) {
            double halfLives = (double) (nowNanos - nanos) / HALF_LIFE.toNanos();
            return evidence.weight() * Math.pow(0.5, Math.max(0, halfLives));
        }
    }

    /** Records the ratio of an observed time to the first token to its prediction. */
    public void observed(String upstream, double ratio, long nowNanos) {
        double bounded = bounded(ratio);
        Observed previous = mLocal.get(upstream);
        double weight = previous == null ? 0 : previous.weight(nowNanos);
        double sum = bounded + (previous == null ? 0 : weight * previous.evidence().slowness());
        Evidence evidence = new Evidence(weight + 1, sum / (weight + 1));
        mLocal.put(upstream, new Observed(evidence, nowNanos));
    }

    /** Replaces the evidence that a peer reported before. */
    public void peerReported(String peer, Map<String, Evidence> reported, long nowNanos) {
        for (String upstream : mReportedByPeer.getOrDefault(peer, Set.of())) {
            mPeers.computeIfPresent(upstream, (id, byPeer) -> without(byPeer, peer));
        }
        reported.forEach(
                (upstream, evidence) ->
                        mPeers.computeIfAbsent(upstream, ignored -> new HashMap<>())
                                .put(
                                        peer,
                                        new Observed(
                                                new Evidence(
                                                        evidence.weight(),
                                                        bounded(evidence.slowness())),
                                                nowNanos)));
        if (reported.isEmpty()) {
            mReportedByPeer.remove(peer);
        } else {
            mReportedByPeer.put(peer, Set.copyOf(reported.keySet()));
        }
    }

    /** Returns null if no evidence is left. */
    private static Map<String, Observed> without(Map<String, Observed> byPeer, String peer) {
        byPeer.remove(peer);
        return byPeer.isEmpty() ? null : byPeer;
    }

    /** Returns the evidence of this instance that peers should know. */
    public Map<String, Evidence> reportable(long nowNanos) {
        Map<String, Evidence> reportable = new HashMap<>();
        mLocal.forEach(
                (upstream, observed) -> {
                    double weight = observed.weight(nowNanos);
                    double slowness = observed.evidence().slowness();
                    if (weight >= MIN_REPORTED_WEIGHT && slowness >= MIN_REPORTED_SLOWNESS) {
                        reportable.put(upstream, new Evidence(weight, slowness));
                    }
                });
        return reportable;
    }

    /** Returns the expected time to the first token relative to its prediction, at least 1. */
    public double of(String upstream, long nowNanos) {
        double weights = PRIOR_WEIGHT;
        double sum = PRIOR_WEIGHT;
        Observed local = mLocal.get(upstream);
        if (local != null) {
            double weight = local.weight(nowNanos);
            weights += weight;
            sum += weight * local.evidence().slowness();
        }
        for (Observed peer : mPeers.getOrDefault(upstream, Map.of()).values()) {
            double weight = peer.weight(nowNanos);
            weights += weight;
            sum += weight * peer.evidence().slowness();
        }
        return sum / weights;
    }

    /** Discards what this instance observed of an upstream that has restarted or is gone. */
    public void remove(String upstream) {
        mLocal.remove(upstream);
        mPeers.remove(upstream);
    }

    private static double bounded(double slowness) {
        return Math.max(1, Math.min(MAX_SLOWNESS, slowness));
    }
}
