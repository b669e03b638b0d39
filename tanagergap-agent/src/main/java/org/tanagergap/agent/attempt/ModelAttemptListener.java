package org.tanagergap.agent.attempt;

import java.time.Duration;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.CompletionWork;

/** Receives the results of the engine that update the load data. */
public interface ModelAttemptListener {

    /** Called at the first token, when the prefill of an attempt is finished. */
    void firstToken(AttemptId attempt, CompletionWork work);

    /** Called when no token has arrived for a time that is far above the time between tokens. */
    void outputPaused(AttemptId attempt, Duration pause);

    /** Called when the engine has refused a request and takes others only after the time. */
    void overloaded(Duration retryAfter);

    /** Called at the end of a completion, with the engine's own count of the prompt's tokens. */
    void finished(CompletionWork work, long promptTokens);
}
