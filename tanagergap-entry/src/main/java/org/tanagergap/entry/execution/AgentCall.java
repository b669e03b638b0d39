package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import java.time.Duration;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.Timer;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/** Call of one attempt to its agent. Confined to the event loop of the request. */
final class AgentCall {

    /** Time for an agent to end a stream after its last event, before the call is reset. */
    private static final Duration STREAM_END_TIMEOUT = Duration.ofSeconds(1);

    private final ExecutorContext mContext;
    private final Context mEventLoop;
    private final String mAddress;
    private final AttemptId mAttempt;
    private GrpcClientRequest<RunRequest, RunEvent> mCall;
    private GrpcClientResponse<RunRequest, RunEvent> mStream;
    private Timer mStreamEndTimer = () -> {};

    AgentCall(ExecutorContext context, Context eventLoop, String address, AttemptId attempt) {
        mContext = context;
        mEventLoop = eventLoop;
        mAddress = address;
        mAttempt = attempt;
    }

    void connected(GrpcClientRequest<RunRequest, RunEvent> call) {
        mCall = call;
    }

    boolean isConnected() {
        return mCall != null;
    }

    void opened(GrpcClientResponse<RunRequest, RunEvent> stream) {
        mStream = stream;
    }

    void pause() {
        if (mStream != null) {
            mStream.pause();
        }
    }

    void resume() {
        if (mStream != null) {
            mStream.resume();
        }
    }

    /** Resets the call unless the agent ends it soon. */
    void awaitEnd() {
        mStreamEndTimer =
                mContext.clock()
                        .schedule(
                                STREAM_END_TIMEOUT,
                                () -> mEventLoop.runOnContext(ignored -> mCall.cancel()));
    }

    /** Called when the agent has ended the stream. */
    void ended() {
        mStreamEndTimer.cancel();
    }

    void reset() {
        mCall.cancel();
    }

    /**
     * Requests the end of the call from the agent and resets the call only on a timeout. HTTP/2
     * closes a connection with all its streams after 200 resets within 30 s of streams that still
     * receive frames; many callers that disconnect together would reach this limit.
     */
    void close() {
        if (mCall == null) {
            return;
        }
        mContext.clients().cancel(mAddress, mAttempt);
        resume();
        awaitEnd();
    }
}
