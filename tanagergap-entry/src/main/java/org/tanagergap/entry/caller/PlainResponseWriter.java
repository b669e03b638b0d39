package org.tanagergap.entry.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.entry.execution.AttemptLogRecord;
import org.tanagergap.entry.execution.ResponseSink;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.ResponseHead;
import org.tanagergap.runtime.http.ResponseCheck;

/** Sends the response of a plain service to its caller. */
final class PlainResponseWriter implements ResponseSink {

    private static final int BAD_GATEWAY = 502;

    private final CallerCall mCall;
    private boolean mStarted;
    private Runnable mDrainTask = () -> {};

    PlainResponseWriter(CallerCall call) {
        mCall = call;
    }

    @Override
    public void attemptStarted(AttemptLogRecord logRecord) {
        mCall.attemptStarted(logRecord);
    }

    @Override
    public void admitted(Admitted admitted) {
        mCall.admitted(admitted);
    }

    @Override
    public void head(ResponseHead head) {
        if (mStarted || mCall.isDisconnected()) {
            return;
        }
        mStarted = true;
        HttpServerResponse response = mCall.response();
        int status = head.getStatus();
        response.setStatusCode(ResponseCheck.isFinalStatus(status) ? status : BAD_GATEWAY);
        head.getHeadersList().stream()
                .filter(h -> ForwardedHeaders.isForwardedToCaller(h.getName()))
                .forEach(h -> response.headers().add(h.getName(), h.getValue()));
    }

    @Override
    public void body(Buffer chunk) {
        if (!mCall.isDisconnected() && chunk.length() > 0) {
            mCall.response().setChunked(true);
            mCall.response().write(chunk);
        }
    }

    @Override
    public boolean isFull() {
        return !mCall.isDisconnected() && mCall.response().writeQueueFull();
    }

    @Override
    public void onDrain(Runnable task) {
        mDrainTask = task;
        mCall.response().drainHandler(ignored -> drained());
    }

    /** Resumes a call that must run at most once, so that it completes without its caller. */
    void callerDisconnected() {
        drained();
    }

    @Override
    public void finished(Finished finished, boolean singleRun) {
        if (mCall.isDisconnected()) {
            mCall.abandoned();
            return;
        }
        mCall.response().end();
        mCall.succeeded();
    }

    @Override
    public void failed(RequestFailure failure) {
        if (!mStarted) {
            mCall.refuse(failure);
            return;
        }
        // Without a reset the caller could mistake the truncated response for a complete one.
        if (!mCall.isDisconnected()) {
            mCall.response().reset();
        }
        mCall.failed(failure);
    }

    private void drained() {
        Runnable task = mDrainTask;
        mDrainTask = () -> {};
        task.run();
    }
}
