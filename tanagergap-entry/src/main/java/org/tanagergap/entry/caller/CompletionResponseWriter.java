package org.tanagergap.entry.caller;

import io.vertx.core.http.HttpServerResponse;
import java.util.function.LongConsumer;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.entry.execution.AttemptLogRecord;
import org.tanagergap.entry.execution.ResponseSink;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.runtime.http.ErrorBody;

/** Sends a completion to its caller, as a stream of events or as one JSON document. */
final class CompletionResponseWriter implements ResponseSink {

    private final CallerCall mCall;
    private final CompletionFormat mFormat;
    private final LengthBand mBand;
    private final boolean mStream;
    private final StringBuilder mText = new StringBuilder();
    private final LongConsumer mPromptTokens;
    private boolean mStarted;

    /**
     * Creates a writer for one response.
     *
     * @param promptTokens receives the number of prompt tokens that the engine counted
     */
    CompletionResponseWriter(
            CallerCall call,
            CompletionFormat format,
            LengthBand band,
            boolean stream,
            LongConsumer promptTokens) {
        mCall = call;
        mFormat = format;
        mBand = band;
        mStream = stream;
        mPromptTokens = promptTokens;
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
    public void token(String text) {
        if (!mStarted) {
            mStarted = true;
            mCall.firstToken(mBand);
            startStream();
        }
        if (mStream) {
            mCall.response().write(mFormat.tokenEvent(text));
        } else {
            mText.append(text);
        }
    }

    @Override
    public boolean isFull() {
        return mStream && mCall.response().writeQueueFull();
    }

    @Override
    public void onDrain(Runnable task) {
        mCall.response().drainHandler(ignored -> task.run());
    }

    @Override
    public void finished(Finished finished, boolean singleRun) {
        if (singleRun) {
            mPromptTokens.accept(finished.getPromptTokens());
        }
        if (mStream) {
            startStream();
            mCall.response().end(mFormat.finalEvents(finished));
        } else {
            mCall.response()
                    .putHeader("Content-Type", "application/json")
                    .end(mFormat.fullResponse(mText.toString(), finished).toBuffer());
        }
        mCall.succeeded();
    }

    @Override
    public void failed(RequestFailure failure) {
        if (!mCall.response().headWritten()) {
            mCall.refuse(failure);
            return;
        }
        String body = ErrorBody.of(failure, mCall.id()).encode();
        mCall.response().end("event: error\ndata: " + body + "\n\n");
        mCall.failed(failure);
    }

    private void startStream() {
        HttpServerResponse response = mCall.response();
        if (mStream && !response.headWritten() && !response.isChunked()) {
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("Cache-Control", "no-cache");
        }
    }
}
