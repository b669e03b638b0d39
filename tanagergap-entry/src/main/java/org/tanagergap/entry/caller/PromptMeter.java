package org.tanagergap.entry.caller;

/** Estimates the length of prompts. */
@FunctionalInterface
public interface PromptMeter {

    /** Estimated tokens of a prompt with the given length in UTF-8. */
    long tokens(String model, long promptBytes);
}
