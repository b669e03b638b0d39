package org.tanagergap.decisions.fleet;

import java.util.Objects;

/**
 * Load of one upstream.
 *
 * @param running number of requests sent and not ended
 * @param targets inter-token targets of those that decode here
 * @param decoding number of those that have produced their first token
 * @param prefillMillis remaining prefill time of the others, in ms
 * @param memoryTokens engine memory that all of them need, in tokens
 * @param pending time that those without a first token have left to their first-token targets, also
 *     those whose prompt this upstream helps to prefill; empty for those that have missed it
 */
public record UpstreamLoad(
        int running,
        StreamTargets targets,
        int decoding,
        double prefillMillis,
        long memoryTokens,
        StreamTargets pending) {

    public static final UpstreamLoad NONE =
            new UpstreamLoad(0, StreamTargets.NONE, 0, 0, 0, StreamTargets.NONE);

    public UpstreamLoad {
        Objects.requireNonNull(targets, "targets must not be null");
        Objects.requireNonNull(pending, "pending must not be null");
    }

    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                running + other.running,
                targets.plus(other.targets),
                decoding + other.decoding,
                prefillMillis + other.prefillMillis,
                memoryTokens + other.memoryTokens,
                pending.plus(other.pending));
    }
}
