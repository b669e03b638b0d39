package org.tanagergap.gateway.forward;

import io.opentelemetry.api.trace.Span;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.gateway.caller.CallerExchange;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/**
 * Writes the one response to a request and records how it ended. Methods have no effect after the
 * end. Confined to the event loop.
 */
final class ResponseWriter {

    private final RuntimeClock mClock;
    private final CallerExchange mExchange;
    private final RequestLogRecord mLogRecord;
    private final Span mSpan;
    private final Runnable mOnEnd;
    private Optional<CompleteResponse> mUpstreamFailure = Optional.empty();
    private boolean mStreaming;
    private boolean mEnded;

    private record CompleteResponse(int status, MultiMap headers, Buffer body) {}

    /**
     * Creates a writer without a response.
     *
     * @param onEnd called once, before the end of the response is written
     */
    ResponseWriter(
            RuntimeClock clock,
            CallerExchange exchange,
            RequestLogRecord logRecord,
            Span span,
            Runnable onEnd) {
        mClock = clock;
        mExchange = exchange;
        mLogRecord = logRecord;
        mSpan = span;
        mOnEnd = onEnd;
    }

    boolean hasEnded() {
        return mEnded;
    }

    /** Returns true if the caller has received a part of the response. */
    boolean hasStarted() {
        return mStreaming;
    }

    /**
     * Sends an event of a stream.
     *
     * @return true if the caller reads too slowly
     */
    boolean sendEvent(UpstreamResponseHead head, MultiMap headers, StreamEvent event) {
        beginStream(head, headers);
        mLogRecord.recordFirstEvent(now());
        return mExchange.sendEvent(event.bytes());
    }

    /** Completes a stream. */
    void endStream(UpstreamResponseHead head, MultiMap headers) {
        if (!mEnded) {
            beginStream(head, headers);
            end("ok", Execution.RAN, "complete stream");
            mExchange.endStream();
        }
    }

    /** Sends the complete response of an upstream. */
    void send(UpstreamResponseHead head, MultiMap headers, Buffer body) {
        send(new CompleteResponse(head.status(), headers, body), "answer of the upstream");
    }

    /** Keeps the response of an upstream that has failed, in case no other attempt succeeds. */
    void keepFailure(UpstreamResponseHead head, MultiMap headers, Buffer body) {
        mUpstreamFailure = Optional.of(new CompleteResponse(head.status(), headers, body));
    }

    /** Sends a failure of the gateway itself. */
    void fail(RequestFailure failure) {
        if (!mEnded) {
            end(failure.code().wireName(), failure.execution(), failure.getMessage());
            mExchange.sendFailure(failure);
        }
    }

    /**
     * Ends a request for which no attempt is left: a stream that has begun is broken off, so that
     * the caller sees it as incomplete, and a failure of an upstream goes before that of the
     * gateway.
     *
     * @param code code of a stream that is broken off
     * @param reason why no attempt is left
     */
    void giveUp(String code, String reason, RequestFailure failure) {
        if (mEnded) {
            return;
        }
        if (mStreaming) {
            end(code, Execution.RAN, reason);
            mExchange.abort();
        } else if (mUpstreamFailure.isPresent()) {
            send(mUpstreamFailure.get(), "the first failure is passed on: " + reason);
        } else {
            fail(failure);
        }
    }

    /** Records that the caller has left. */
    void callerLeft() {
        end("caller_left", Execution.UNKNOWN, "the caller left before the answer was complete");
    }

    private void beginStream(UpstreamResponseHead head, MultiMap headers) {
        if (!mStreaming) {
            mStreaming = true;
            mExchange.startStream(head.status(), headers);
        }
    }

    private void send(CompleteResponse response, String message) {
        if (!mEnded) {
            mLogRecord.recordFirstEvent(now());
            end("status_" + response.status(), Execution.RAN, message);
            mExchange.sendResponse(response.status(), response.headers(), response.body());
        }
    }

    private void end(String code, Execution execution, String message) {
        mEnded = true;
        mOnEnd.run();
        mLogRecord.requestEnded(code, execution, message, now());
        mSpan.setAttribute("code", code);
        mSpan.end();
    }

    private long now() {
        return mClock.nanoTime();
    }
}
