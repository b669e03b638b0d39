package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.AttemptId;

/**
 * Run listed by an engine.
 *
 * @param attemptId identifier that the agent sent with the run
 * @param memoryTokens engine memory that the run occupies, in tokens
 */
public record EngineRun(AttemptId attemptId, long memoryTokens) {}
