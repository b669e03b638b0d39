package org.tanagergap.agent.plain;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.state.intent.IntentKey;
import org.tanagergap.state.intent.IntentLog;

/** Sends calls to the plain service; non-idempotent calls are sent at most once. */
public final class PlainServiceClient {

    private final PlainUpstream mUpstream;
    private final IntentLog mIntents;
    private final RuntimeClock mClock;
    private final Executor mLoop;

    /**
     * Creates a client.
     *
     * @param loop executor that runs tasks one at a time; the state of calls changes only on it
     */
    public PlainServiceClient(
            PlainUpstream upstream, IntentLog intents, RuntimeClock clock, Executor loop) {
        mUpstream = Objects.requireNonNull(upstream, "upstream must not be null");
        mIntents = Objects.requireNonNull(intents, "intents must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mLoop = Objects.requireNonNull(loop, "loop must not be null");
    }

    /**
     * Prepares a call, which is sent by {@link PlainCallExecution#start}.
     *
     * @param key intent key of a non-idempotent call; empty for idempotent calls
     */
    PlainCallExecution prepare(
            PlainCall call,
            Optional<IntentKey> key,
            Deadline deadline,
            PlainCallListener listener) {
        if (key.isEmpty()) {
            return new IdempotentCall(mUpstream, mLoop, call, listener);
        }
        return new AtMostOnceCall(
                mUpstream, mIntents, mClock, mLoop, call, key.get(), deadline, listener);
    }
}
