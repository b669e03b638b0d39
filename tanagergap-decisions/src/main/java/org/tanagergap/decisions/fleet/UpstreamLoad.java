package org.tanagergap.decisions.fleet;

/**
 * Load of one upstream.
 *
 * @param running number of requests sent and not ended
 * @param latencySensitive number of those that a long prefill on the same engine would make miss
 *     their targets
 * @param decoding number of those that have produced their first token
 * @param prefillMillis remaining prefill time of the others, in ms
 * @param memoryTokens engine memory that all of them need, in tokens
 */
public record UpstreamLoad(
        int running, int latencySensitive, int decoding, double prefillMillis, long memoryTokens) {

    public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0, 0, 0);

    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                running + other.running,
                latencySensitive + other.latencySensitive,
                decoding + other.decoding,
                prefillMillis + other.prefillMillis,
                memoryTokens + other.memoryTokens);
    }
}
