package org.tanagergap.decisions.fleet;

/**
 * Work of several requests at one upstream.
 *
 * @param running requests sent and not ended
 * @param latencySensitive those of them that a long read beside them would make late
 * @param decoding those of them that have produced their first token
 * @param prefillMillis time to read what the others still have to read, in ms
 * @param memoryTokens engine memory that all of them need, in tokens
 */
public record UpstreamLoad(
        int running, int latencySensitive, int decoding, double prefillMillis, long memoryTokens) {

    public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0, 0, 0);

    /** Sum of two loads. */
    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                running + other.running,
                latencySensitive + other.latencySensitive,
                decoding + other.decoding,
                prefillMillis + other.prefillMillis,
                memoryTokens + other.memoryTokens);
    }
}
