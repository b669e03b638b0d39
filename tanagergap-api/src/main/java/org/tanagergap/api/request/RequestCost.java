package org.tanagergap.api.request;

/**
 * Work of a request, in tokens.
 *
 * @param promptTokens tokens to prefill
 * @param maxOutputTokens maximum number of tokens to generate
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

    /** Returns the maximum engine memory that the request needs, in tokens. */
    public long memoryTokens() {
        return promptTokens + maxOutputTokens;
    }
}
