package org.tanagergap.decisions.cost;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagergap.api.request.RequestCost;

/**
 * Estimates prompt tokens from bytes, using an average per model of the token counts that engines
 * report.
 */
public final class TokenEstimator {

    private static final double INITIAL_BYTES_PER_TOKEN = 4.0;
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Token counts outside these bounds come from faulty engines rather than from text. */
    private static final double MIN_BYTES_PER_TOKEN = 0.5;

    private static final double MAX_BYTES_PER_TOKEN = 32;

    private final Map<String, Double> mBytesPerToken = new ConcurrentHashMap<>();

    /** Returns the estimated tokens of a prompt, rounded up. */
    public long promptTokens(String model, long bytes) {
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative: " + bytes);
        }
        return (long) Math.ceil(bytes / bytesPerToken(model));
    }

    /** Returns the estimated cost of a completion. */
    public RequestCost cost(String model, long bytes, long maxOutputTokens) {
        return new RequestCost(promptTokens(model, bytes), maxOutputTokens);
    }

    /** Returns the learnt bytes per token of a model, 4.0 before the first count. */
    public double bytesPerToken(String model) {
        Objects.requireNonNull(model, "model must not be null");
        return mBytesPerToken.getOrDefault(model, INITIAL_BYTES_PER_TOKEN);
    }

    /**
     * Records the token count that an engine reported for a prompt; ignores counts of empty
     * prompts.
     */
    public void observe(String model, long bytes, long promptTokens) {
        Objects.requireNonNull(model, "model must not be null");
        if (bytes <= 0 || promptTokens <= 0) {
            return;
        }
        double sample = bytes / (double) promptTokens;
        double bounded = Math.max(MIN_BYTES_PER_TOKEN, Math.min(MAX_BYTES_PER_TOKEN, sample));
        mBytesPerToken.merge(
                model,
                INITIAL_BYTES_PER_TOKEN + SAMPLE_WEIGHT * (bounded - INITIAL_BYTES_PER_TOKEN),
                (old, first) -> old + SAMPLE_WEIGHT * (bounded - old));
    }
}
