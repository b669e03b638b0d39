package org.tanagergap.gateway.forward;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.gateway.caller.CallerExchange;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.configuration.RouteKind;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/**
 * Lifecycle of one request: it is placed, sent to one upstream after another as far as it may be
 * retried, and gets one response. Confined to the event loop.
 */
final class RequestLifecycle implements UpstreamAttemptListener {

    /** Lowest status that reports a failure of the upstream itself. */
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final ForwardingContext mContext;
    private final Dispatcher mDispatcher;
    private final CallerExchange mExchange;
    private final GatewayRequest mRequest;
    private final RequestLogRecord mLogRecord;
    private final Span mSpan;
    private final RequestTimes mTimes;
    private final RequestRetries mRetries;
    private final OpenAttempts mAttempts;
    private Optional<CompleteResponse> mFailureResponse = Optional.empty();
    private OptionalLong mLastEventId;
    private boolean mStreaming;
    private boolean mEnded;
    private Timer mDeadline = () -> {};

    private record CompleteResponse(int status, MultiMap headers, Buffer body) {}

    RequestLifecycle(
            ForwardingContext context,
            Dispatcher dispatcher,
            CallerExchange exchange,
            GatewayRequest request) {
        mContext = context;
        mDispatcher = dispatcher;
        mExchange = exchange;
        mRequest = request;
        mLogRecord =
                new RequestLogRecord(
                        context.identity().id(), context.metrics(), exchange.id(), request);
        mSpan =
                context.tracing()
                        .start(
                                "request",
                                SpanKind.SERVER,
                                Optional.ofNullable(
                                        request.headers().get(UpstreamAttempt.TRACE_HEADER)));
        mTimes = new RequestTimes(context.clock(), request);
        mRetries = new RequestRetries(context.retryBudgets(), request);
        mAttempts = new OpenAttempts(context, this, dispatcher, mRetries);
        mLastEventId = request.lastEventId();
    }

    GatewayRequest request() {
        return mRequest;
    }

    /** Latest dispatch times of the request. */
    RequestTimes times() {
        return mTimes;
    }

    CallerExchange exchange() {
        return mExchange;
    }

    Span span() {
        return mSpan;
    }

    RequestLogRecord logRecord() {
        return mLogRecord;
    }

    /** Identifier of the last event that the caller has received. */
    OptionalLong lastEventId() {
        return mLastEventId;
    }

    /** Returns true if the caller has received a part of the response. */
    boolean responseStarted() {
        return mStreaming;
    }

    /** Tries to place queued requests after an attempt has freed capacity. */
    void capacityChanged() {
        mDispatcher.capacityChanged();
    }

    void start() {
        mContext.retryBudgets().request(mRequest.service().name());
        Optional<RequestFailure> refusal = mContext.quarantine().refusal(mRequest);
        if (refusal.isPresent()) {
            fail(refusal.get());
            return;
        }
        mContext.quarantine().began(this);
        long remaining = mRequest.deadlineNanos() - now();
        mDeadline = mContext.clock().schedule(Duration.ofNanos(remaining), this::deadlinePassed);
        mExchange.onDisconnect(this::callerDisconnected);
        mDispatcher.submit(this, mRetries.failedUpstreams());
    }

    /** Starts an attempt at the chosen upstream. */
    void placed(Placement placement) {
        if (!mEnded) {
            mAttempts.start(placement);
        }
    }

    /** Ends the request, for which no upstream is available. */
    void refused(RequestFailure failure) {
        if (mStreaming) {
            end("broken_off", Execution.RAN, "no upstream goes on: " + failure.getMessage());
            mExchange.abort();
        } else if (mFailureResponse.isPresent()) {
            sendResponse(mFailureResponse.get(), "the upstream's failure is passed on");
        } else if (mRetries.mayHaveRun()) {
            fail(
                    RequestFailure.of(
                            FailureCode.UPSTREAM_FAILED,
                            Execution.UNKNOWN,
                            "an attempt failed and there is no upstream for another"));
        } else {
            fail(failure);
        }
    }

    @Override
    public void event(
            UpstreamAttempt attempt,
            UpstreamResponseHead head,
            MultiMap headers,
            StreamEvent event) {
        if (mEnded) {
            return;
        }
        mAttempts.progressed(attempt);
        if (!mStreaming) {
            mStreaming = true;
            mExchange.startStream(head.status(), headers);
        }
        mTimes.eventArrived();
        mLogRecord.recordFirstEvent(now());
        if (event.id().isPresent()) {
            mLastEventId = event.id();
        }
        if (mExchange.sendEvent(event.bytes())) {
            mAttempts.pauseReading();
            mExchange.onDrain(mAttempts::resumeReading);
        }
    }

    @Override
    public void streamEnded(UpstreamAttempt attempt, UpstreamResponseHead head, MultiMap headers) {
        mAttempts.ended(attempt);
        if (mEnded) {
            return;
        }
        mAttempts.cancel();
        if (!mStreaming) {
            mExchange.startStream(head.status(), headers);
        }
        end("ok", Execution.RAN, "complete stream");
        mExchange.endStream();
    }

    @Override
    public boolean acceptsEmptyStream() {
        // A resumed run has at least one event, and an open attempt may have more.
        return !mStreaming && mAttempts.size() == 1;
    }

    @Override
    public void responseReceived(
            UpstreamAttempt attempt, UpstreamResponseHead head, MultiMap headers, Buffer body) {
        mAttempts.ended(attempt);
        mRetries.answered();
        if (mEnded) {
            return;
        }
        CompleteResponse response = new CompleteResponse(head.status(), headers, body);
        boolean failed = mStreaming || head.status() >= MIN_SERVER_ERROR_STATUS;
        if (!failed) {
            mAttempts.cancel();
            sendResponse(response, "answer of the upstream");
            return;
        }
        if (!mStreaming) {
            mFailureResponse = Optional.of(response);
        }
        if (!mAttempts.continueAfterFailure(false)) {
            attemptFailed("status " + head.status(), Execution.RAN, false);
        }
    }

    @Override
    public void failed(UpstreamAttempt attempt, String upstream, CallFailure failure) {
        mAttempts.ended(attempt);
        mRetries.failed(upstream, failure.execution());
        boolean free = !failure.kind().sent();
        if (!mEnded && !mAttempts.continueAfterFailure(free)) {
            attemptFailed(failure.reason(), failure.execution(), free);
        }
    }

    @Override
    public void stalled(UpstreamAttempt attempt, Duration silence) {
        if (!mEnded) {
            mAttempts.stalled(attempt, silence);
        }
    }

    @Override
    public boolean canPlaceWithout(String engine) {
        return mAttempts.canPlaceWithout(engine);
    }

    /** Returns true if another run may go on with the response. */
    boolean resumable() {
        return !mStreaming || mLastEventId.isPresent();
    }

    private void attemptFailed(String reason, Execution execution, boolean free) {
        if (resumable() && mRetries.tryRetryAfterFailure(execution, free)) {
            mDispatcher.submit(this, mRetries.failedUpstreams());
        } else if (mStreaming) {
            end("broken_off", Execution.RAN, reason);
            mExchange.abort();
        } else if (mFailureResponse.isPresent()) {
            sendResponse(mFailureResponse.get(), "the first failure is passed on: " + reason);
        } else if (execution == Execution.NOT_RUN && !mRetries.mayHaveRun()) {
            fail(
                    RequestFailure.notRun(FailureCode.UNAVAILABLE, reason)
                            .withRetryAfter(Dispatcher.MIN_RETRY_AFTER));
        } else {
            fail(RequestFailure.of(FailureCode.UPSTREAM_FAILED, Execution.UNKNOWN, reason));
        }
    }

    private void deadlinePassed() {
        if (mEnded) {
            return;
        }
        boolean sent = !mAttempts.isEmpty() || mRetries.mayHaveRun();
        stopForwarding();
        if (mStreaming) {
            end("deadline_exceeded", Execution.RAN, "the time is up in the middle of the stream");
            mExchange.abort();
        } else if (mFailureResponse.isPresent()) {
            sendResponse(mFailureResponse.get(), "the first failure is passed on at the deadline");
        } else {
            fail(
                    RequestFailure.of(
                            FailureCode.DEADLINE_EXCEEDED,
                            sent ? Execution.UNKNOWN : Execution.NOT_RUN,
                            "the time allowed for the request is up"));
        }
    }

    /** Ends the request, unless an engine has generated tokens for it. */
    void promptQuarantined(RequestFailure refusal) {
        if (mEnded || mStreaming) {
            return;
        }
        boolean sent = !mAttempts.isEmpty() || mRetries.mayHaveRun();
        stopForwarding();
        if (sent) {
            String reason = refusal.getMessage();
            fail(RequestFailure.of(FailureCode.UPSTREAM_FAILED, Execution.UNKNOWN, reason));
        } else {
            fail(refusal);
        }
    }

    private void stopForwarding() {
        mDispatcher.withdraw(this);
        mAttempts.cancel();
    }

    private void callerDisconnected() {
        if (mEnded) {
            return;
        }
        stopForwarding();
        end("caller_left", Execution.UNKNOWN, "the caller left before the answer was complete");
    }

    private void sendResponse(CompleteResponse response, String message) {
        mLogRecord.recordFirstEvent(now());
        end("status_" + response.status(), Execution.RAN, message);
        mExchange.sendResponse(response.status(), response.headers(), response.body());
    }

    private void fail(RequestFailure failure) {
        end(failure.code().wireName(), failure.execution(), failure.getMessage());
        mExchange.sendFailure(failure);
    }

    private void end(String code, Execution execution, String message) {
        mEnded = true;
        mContext.quarantine().ended(this);
        mDeadline.cancel();
        mLogRecord.requestEnded(code, execution, message, now());
        mSpan.setAttribute("code", code);
        mSpan.end();
    }

    private long now() {
        return mContext.clock().nanoTime();
    }

    boolean isStream() {
        return mRequest.route().kind() == RouteKind.STREAM;
    }
}
