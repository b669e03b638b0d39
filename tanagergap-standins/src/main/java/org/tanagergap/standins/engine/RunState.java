package org.tanagergap.standins.engine;

/**
 * Entry of the list of runs.
 *
 * @param requestId identifier of the request
 * @param memoryTokens memory allocated to the run, in tokens; 0 while it is queued
 * @param state {@code queued}, {@code prefill}, {@code decode} or {@code held}
 */
public record RunState(String requestId, long memoryTokens, String state) {}
