package org.tanagergap.agent.engine;

/** Event of a streamed completion. */
public sealed interface EngineEvent {

    /** Request identifier that the engine echoes. */
    String requestId();

    /**
     * One generated token.
     *
     * @param index position among the generated tokens, from 0
     */
    record Token(String requestId, long index, String text) implements EngineEvent {}

    /**
     * End of the generation, with the engine's own counts.
     *
     * @param finishReason {@code stop} or {@code length}
     */
    record Finish(
            String requestId,
            String finishReason,
            long promptTokens,
            long completionTokens,
            long cachedTokens)
            implements EngineEvent {}
}
