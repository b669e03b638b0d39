package org.tanagergap.agent.load;

/** Estimates the bytes of prompt text per token from the engine's own token counts. */
public final class BytesPerTokenEstimator {

    private static final double INITIAL_BYTES_PER_TOKEN = 4.0;

    /** Weight of a new observation; about the last 20 prompts determine the value. */
    private static final double OBSERVATION_WEIGHT = 0.1;

    private volatile double mBytesPerToken = INITIAL_BYTES_PER_TOKEN;

    /** Updates the estimate with the engine's token count for a prompt. */
    public synchronized void observe(long promptBytes, long promptTokens) {
        if (promptBytes > 0 && promptTokens > 0) {
            double observed = (double) promptBytes / promptTokens;
            mBytesPerToken += OBSERVATION_WEIGHT * (observed - mBytesPerToken);
        }
    }

    public double bytesPerToken() {
        return mBytesPerToken;
    }
}
