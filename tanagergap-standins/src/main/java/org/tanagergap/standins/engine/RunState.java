package org.tanagergap.standins.engine;

/**
 * Run as the engine lists it.
 *
 * @param requestId identifier of the request
 * @param memoryTokens memory that it holds, in tokens; 0 while it waits
 * @param state {@code queued}, {@code prefill}, {@code decode} or {@code held}
 */
public record RunState(String requestId, long memoryTokens, String state) {}
