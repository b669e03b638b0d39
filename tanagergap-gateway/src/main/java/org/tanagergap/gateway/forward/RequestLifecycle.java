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

    /** Code of a stream that ends before its last event. */
    private static final String BROKEN_OFF = "broken_off";

    private final ForwardingContext mContext;
    private final Dispatcher mDispatcher;
    private final CallerExchange mExchange;
    private final GatewayRequest mRequest;
    private final RequestLogRecord mLogRecord;
    private final Span mSpan;
    private final RequestTimes mTimes;
    private final RequestRetries mRetries;
    private final OpenAttempts mAttempts;
    private final ResponseWriter mResponse;
    private OptionalLong mLastEventId;
    private Timer mDeadline = () -> {};

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
                                        request.headers().get(AttemptRequestHeaders.TRACE_HEADER)));
        mTimes = new RequestTimes(context.clock(), request);
        mRetries = new RequestRetries(context.retryBudgets(), request);
        mAttempts = new OpenAttempts(context, this, dispatcher, mRetries);
        mResponse =
                new ResponseWriter(context.clock(), exchange, mLogRecord, mSpan, this::responded);
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
        return mResponse.hasStarted();
    }

    /** Tries to place queued requests after an attempt has freed capacity. */
    void capacityChanged() {
        mDispatcher.capacityChanged();
    }

    void start() {
        mContext.retryBudgets().request(mRequest.service().name());
        Optional<RequestFailure> refusal = mContext.quarantine().refusal(mRequest);
        if (refusal.isPresent()) {
            mResponse.fail(refusal.get());
            return;
        }
        mContext.quarantine().began(this);
        long remaining = mRequest.deadlineNanos() - now();
        mDeadline = mContext.clock().schedule(Duration.ofNanos(remaining), this::deadlinePassed);
        mExchange.onDisconnect(this::callerDisconnected);
        mExchange.onShutdown(this::end);
        mDispatcher.submit(this, mRetries.failedUpstreams());
    }

    /** Starts an attempt at the chosen upstream. */
    void placed(Placement placement) {
        if (!mResponse.hasEnded()) {
            mAttempts.start(placement);
        }
    }

    /** Ends the request, for which no upstream is available. */
    void refused(RequestFailure failure) {
        RequestFailure possiblyRun =
                RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        Execution.UNKNOWN,
                        "an attempt failed and there is no upstream for another");
        mResponse.giveUp(
                BROKEN_OFF,
                "no upstream goes on: " + failure.getMessage(),
                mRetries.mayHaveRun() ? possiblyRun : failure);
    }

    @Override
    public void event(
            UpstreamAttempt attempt,
            UpstreamResponseHead head,
            MultiMap headers,
            StreamEvent event) {
        if (mResponse.hasEnded()) {
            return;
        }
        mAttempts.progressed(attempt);
        mTimes.eventArrived();
        if (event.id().isPresent()) {
            mLastEventId = event.id();
        }
        if (mResponse.sendEvent(head, headers, event)) {
            mAttempts.pauseReading();
            mExchange.onDrain(mAttempts::resumeReading);
        }
    }

    @Override
    public void streamEnded(UpstreamAttempt attempt, UpstreamResponseHead head, MultiMap headers) {
        mAttempts.ended(attempt);
        mAttempts.cancel();
        mResponse.endStream(head, headers);
    }

    @Override
    public boolean acceptsEmptyStream() {
        // A resumed run has at least one event, and an open attempt may have more.
        return !responseStarted() && mAttempts.size() == 1;
    }

    @Override
    public void responseReceived(
            UpstreamAttempt attempt, UpstreamResponseHead head, MultiMap headers, Buffer body) {
        mAttempts.ended(attempt);
        if (mResponse.hasEnded()) {
            return;
        }
        if (!responseStarted() && head.status() < MIN_SERVER_ERROR_STATUS) {
            mRetries.answered();
            mAttempts.cancel();
            mResponse.send(head, headers, body);
            return;
        }
        mRetries.answeredWithFailure(attempt.upstream());
        mResponse.keepFailure(head, headers, body);
        if (!mAttempts.continueAfterFailure(false)) {
            attemptFailed("status " + head.status(), Execution.RAN, false);
        }
    }

    @Override
    public void failed(UpstreamAttempt attempt, String upstream, CallFailure failure) {
        mAttempts.ended(attempt);
        mRetries.failed(upstream, failure.execution());
        boolean free = !failure.kind().sent();
        if (!mResponse.hasEnded() && !mAttempts.continueAfterFailure(free)) {
            attemptFailed(failure.reason(), failure.execution(), free);
        }
    }

    @Override
    public void stalled(UpstreamAttempt attempt, Duration silence) {
        if (!mResponse.hasEnded()) {
            mAttempts.stalled(attempt, silence);
        }
    }

    @Override
    public boolean canPlaceWithout(String engine) {
        return mAttempts.canPlaceWithout(engine);
    }

    /** Returns true if another run may go on with the response. */
    boolean resumable() {
        return !responseStarted() || mLastEventId.isPresent();
    }

    private void attemptFailed(String reason, Execution execution, boolean free) {
        if (resumable() && mRetries.tryRetryAfterFailure(execution, free)) {
            mDispatcher.submit(this, mRetries.failedUpstreams());
            return;
        }
        RequestFailure failure =
                execution == Execution.NOT_RUN && !mRetries.mayHaveRun()
                        ? RequestFailure.notRun(FailureCode.UNAVAILABLE, reason)
                                .withRetryAfter(Dispatcher.MIN_RETRY_AFTER)
                        : RequestFailure.of(FailureCode.UPSTREAM_FAILED, Execution.UNKNOWN, reason);
        mResponse.giveUp(BROKEN_OFF, reason, failure);
    }

    private void deadlinePassed() {
        if (mResponse.hasEnded()) {
            mExchange.closeUnlessWritten();
            return;
        }
        boolean sent = mayHaveRun();
        stopForwarding();
        FailureCode code = FailureCode.DEADLINE_EXCEEDED;
        RequestFailure failure =
                RequestFailure.of(
                        code,
                        sent ? Execution.UNKNOWN : Execution.NOT_RUN,
                        "the time allowed for the request is up");
        mResponse.giveUp(code.wireName(), failure.getMessage(), failure);
    }

    /** Ends the request, unless an engine has generated tokens for it. */
    void promptQuarantined(RequestFailure refusal) {
        if (!responseStarted()) {
            end(refusal);
        }
    }

    /** Ends the request with the refusal, or as failed if an upstream may have run it. */
    private void end(RequestFailure refusal) {
        if (mResponse.hasEnded()) {
            return;
        }
        boolean sent = mayHaveRun();
        stopForwarding();
        RequestFailure possiblyRun =
                RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED, Execution.UNKNOWN, refusal.getMessage());
        mResponse.giveUp(BROKEN_OFF, refusal.getMessage(), sent ? possiblyRun : refusal);
    }

    private boolean mayHaveRun() {
        return !mAttempts.isEmpty() || mRetries.mayHaveRun();
    }

    private void stopForwarding() {
        mDispatcher.withdraw(this);
        mAttempts.cancel();
    }

    private void callerDisconnected() {
        if (!mResponse.hasEnded()) {
            stopForwarding();
            mResponse.callerLeft();
        }
    }

    private void responded() {
        mContext.quarantine().ended(this);
        mExchange.onRelease(mDeadline::cancel);
    }

    private long now() {
        return mContext.clock().nanoTime();
    }

    boolean isStream() {
        return mRequest.route().kind() == RouteKind.STREAM;
    }
}
