package org.tanagergap.decisions.fleet;

/**
 * Work of several requests at one upstream.
 *
 * @param running requests sent and not ended
 * @param delicate those of them that a long read beside them would make late
 * @param writing those of them that have produced their first token
 * @param readMillis time to read what the others still have to read, in ms
 * @param memoryTokens engine memory that all of them need, in tokens
 */
public record UpstreamLoad(
        int running, int delicate, int writing, double readMillis, long memoryTokens) {

    public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0, 0, 0);

    /** Sum of two loads. */
    public UpstreamLoad plus(UpstreamLoad other) {
        return new UpstreamLoad(
                running + other.running,
                delicate + other.delicate,
                writing + other.writing,
                readMillis + other.readMillis,
                memoryTokens + other.memoryTokens);
    }
}
