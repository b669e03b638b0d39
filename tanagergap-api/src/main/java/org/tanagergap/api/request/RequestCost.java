package org.tanagergap.api.request;

/**
 * Work of a request, in tokens.
 *
 * @param promptTokens tokens to prefill
 * @param maxOutputTokens most tokens that may be generated
 */
public record RequestCost(long promptTokens, long maxOutputTokens) {

    public RequestCost {
        if (promptTokens < 0) {
            throw new IllegalArgumentException(
                    "promptTokens must not be negative: " + promptTokens);
        }
        if (maxOutputTokens < 0) {
            throw new IllegalArgumentException(
                    "maxOutputTokens must not be negative: " + maxOutputTokens);
        }
    }

    /** Engine memory that the request may need, in tokens. */
    public long memoryTokens() {
        return promptTokens + maxOutputTokens;
    }
}
