package org.tanagergap.agent.server;

import com.google.common.flogger.FluentLogger;
import io.vertx.grpc.server.GrpcServerResponse;
import org.tanagergap.agent.attempt.EventSink;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Sends the events of an attempt to its caller. Each write to a closed call throws; this class then
 * discards the event, because the attempt must still release its reservation.
 */
final class ResponseSink implements EventSink {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final GrpcServerResponse<RunRequest, RunEvent> mResponse;
    private boolean mClosed;

    ResponseSink(GrpcServerResponse<RunRequest, RunEvent> response) {
        mResponse = response;
    }

    @Override
    public void send(RunEvent event) {
        write(() -> mResponse.write(event));
    }

    @Override
    public boolean isFull() {
        return !mClosed && mResponse.writeQueueFull();
    }

    @Override
    public void onDrain(Runnable action) {
        mResponse.drainHandler(
                ignored -> {
                    mResponse.drainHandler(null);
                    action.run();
                });
    }

    @Override
    public void end() {
        write(mResponse::end);
        mClosed = true;
    }

    /** Discards all further events. */
    void close() {
        mClosed = true;
    }

    private void write(Runnable task) {
        if (mClosed) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            mClosed = true;
            sLogger.atFine().withCause(e).log("discarding an event because its call is closed");
        }
    }
}
