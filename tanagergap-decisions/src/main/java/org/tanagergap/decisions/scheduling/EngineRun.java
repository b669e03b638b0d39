package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.AttemptId;

/**
 * Run that an engine reports.
 *
 * @param attemptId identifier that the agent sent with the run
 * @param memoryTokens engine memory that it holds, in tokens
 */
public record EngineRun(AttemptId attemptId, long memoryTokens) {}
