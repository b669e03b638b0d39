package org.tanagergap.api.request;

/** Class of a prompt by its length in tokens. */
public enum LengthBand {
    SHORT,
    MEDIUM,
    LONG;

    /** Prompts with fewer tokens are short. */
    public static final long MEDIUM_FROM_TOKENS = 8_000;

    /** Prompts with at least this many tokens are long. */
    public static final long LONG_FROM_TOKENS = 100_000;

    /** Returns the band of a prompt with the given number of tokens. */
    public static LengthBand of(long promptTokens) {
        if (promptTokens < MEDIUM_FROM_TOKENS) {
            return SHORT;
        }
        return promptTokens < LONG_FROM_TOKENS ? MEDIUM : LONG;
    }
}
