package org.tanagergap.agent.attempt;

import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.CompletionWork;

/** Learns from the engine's answers. */
public interface ModelAttemptListener {

    /** Records that the prefill of an attempt is over. */
    void firstToken(AttemptId attempt, CompletionWork work);

    /** Records the engine's own count of the prompt's tokens. */
    void finished(CompletionWork work, long promptTokens);
}
