package org.tanagergap.agent.engine;

import java.util.List;
import org.tanagergap.api.request.AttemptId;

/**
 * Request for a completion, as sent to an engine.
 *
 * @param attemptId the engine's request identifier
 * @param model name of the model
 * @param prompt text of the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param priority lower values run first
 * @param cacheSalt separates the cached prefixes of workspaces
 * @param resumeFrom index of the first token to send
 * @param generatedText text of the tokens before {@code resumeFrom}
 * @param segments segments whose KV cache is on other engines, in the order of the prompt
 * @param traceparent W3C trace context
 */
public record EngineCompletion(
        AttemptId attemptId,
        String model,
        String prompt,
        long maxTokens,
        int priority,
        String cacheSalt,
        long resumeFrom,
        String generatedText,
        List<RemoteSegment> segments,
        String traceparent) {

    public EngineCompletion {
        segments = List.copyOf(segments);
    }
}
