package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.LengthBand;

/**
 * Prompt tokens that wait or are being prefilled, by the length of their prompts.
 *
 * @param shortTokens tokens of short prompts
 * @param mediumTokens tokens of medium prompts
 * @param longTokens tokens of long prompts
 */
public record PrefillBacklog(long shortTokens, long mediumTokens, long longTokens) {

    public static final PrefillBacklog EMPTY = new PrefillBacklog(0, 0, 0);

    /**
     * Returns the tokens that a new prompt of the band waits behind, since longer prompts yield to
     * it.
     */
    public long upTo(LengthBand band) {
        return switch (band) {
            case SHORT -> shortTokens;
            case MEDIUM -> shortTokens + mediumTokens;
            case LONG -> total();
        };
    }

    public long total() {
        return shortTokens + mediumTokens + longTokens;
    }

    /** Returns a copy with tokens added to a band. */
    public PrefillBacklog plus(LengthBand band, long tokens) {
        return switch (band) {
            case SHORT -> new PrefillBacklog(shortTokens + tokens, mediumTokens, longTokens);
            case MEDIUM -> new PrefillBacklog(shortTokens, mediumTokens + tokens, longTokens);
            case LONG -> new PrefillBacklog(shortTokens, mediumTokens, longTokens + tokens);
        };
    }
}
