package org.tanagergap.standins.engine;

import java.util.List;
import java.util.Optional;

/**
 * Request to an engine.
 *
 * @param requestId identifier that the engine repeats in each event
 * @param promptTokens tokens of the prompt or of its last segment
 * @param promptDigest digest of the whole prompt
 * @param maxTokens maximum number of output tokens; 0 for the prefill of a segment
 * @param priority lower values run first
 * @param cacheSalt separates the prefix caches of different users
 * @param blockHashes hashes of the prompt's blocks, each covering all blocks before it
 * @param resumeFrom index of the first output token
 * @param importedTokens tokens of the segments imported from other engines
 * @param handle handle under which the KV cache of a segment is retained; empty for completions
 */
public record EngineRequest(
        String requestId,
        long promptTokens,
        long promptDigest,
        long maxTokens,
        int priority,
        String cacheSalt,
        List<Long> blockHashes,
        long resumeFrom,
        long importedTokens,
        Optional<String> handle) {

    public EngineRequest {
        blockHashes = List.copyOf(blockHashes);
    }

    /** Engine memory that the request needs, in tokens. */
    public long memoryTokens() {
        return promptTokens + maxTokens;
    }
}
