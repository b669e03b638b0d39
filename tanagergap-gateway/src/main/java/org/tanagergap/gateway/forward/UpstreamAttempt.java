package org.tanagergap.gateway.forward;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.AttemptHeaders;
import org.tanagergap.gateway.wire.HelperAddress;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/**
 * One attempt of a request: reserves memory on helper engines if needed, calls the upstream,
 * enforces the idle timeout and accounts for the load. Confined to the event loop.
 */
final class UpstreamAttempt implements UpstreamCallListener {

    /** Subtracted from the time to the deadline, so that a response sent in time still arrives. */
    private static final Duration RESPONSE_TRANSIT_TIME = Duration.ofMillis(10);

    /** The engine is probed during prefills that are predicted to take longer than this. */
    private static final double MIN_CHECKED_PREFILL_MILLIS = 1_000;

    static final String TRACE_HEADER = "traceparent";

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ForwardingContext mContext;
    private final RequestLifecycle mLifecycle;
    private final GatewayRequest mRequest;
    private final Placement mPlacement;
    private final UpstreamAttemptListener mListener;
    private final AttemptLoad mLoad;
    private final EventSequenceChecker mSequence;
    private final UpstreamIdleTimeout mIdleTimeout;
    private final AttemptObservations mObservations;
    private Optional<Upstream> mUpstream = Optional.empty();
    private Optional<HelperMemoryReservation> mReservation = Optional.empty();
    private Optional<UpstreamCall> mCall = Optional.empty();
    private Optional<LivenessCheck> mLiveness = Optional.empty();
    private Span mSpan = Span.getInvalid();
    private long mStartNanos;
    private long mLastEventNanos;
    private boolean mFirstEvent = true;
    private boolean mPaused;
    private boolean mStalled;
    private boolean mEnded;
    private Timer mIdleTimer = () -> {};

    UpstreamAttempt(
            ForwardingContext context,
            RequestLifecycle lifecycle,
            Placement placement,
            UpstreamAttemptListener listener) {
        mContext = context;
        mLifecycle = lifecycle;
        mRequest = lifecycle.request();
        mPlacement = placement;
        mListener = listener;
        mIdleTimeout = new UpstreamIdleTimeout(mRequest.route(), placement.firstTokenMillis());
        mObservations = new AttemptObservations(context, lifecycle, placement, mIdleTimeout);
        mLoad = new AttemptLoad(context);
        mSequence = new EventSequenceChecker(lifecycle.lastEventId());
    }

    void start() {
        mStartNanos = now();
        mUpstream = mContext.view().upstream(mPlacement.upstream());
        mUpstream.ifPresent(mContext.rateLimits()::sent);
        mSpan = mContext.tracing().startChild("attempt", SpanKind.CLIENT, mLifecycle.span());
        mLifecycle.logRecord().attemptStarted(newRecord());
        mLoad.begin(mPlacement, mLifecycle.times().placementRequest(), mRequest.service().engine());
        if (mPlacement.reservedTokensPerHelper() > 0) {
            reserve();
        } else {
            call(helpersWithoutReservation());
        }
    }

    private AttemptRecord newRecord() {
        String upstream = mPlacement.upstream();
        return new AttemptRecord(
                id(),
                upstream,
                mContext.view().upstream(upstream).map(Upstream::failureDomain).orElse(""),
                mPlacement.helpers().size(),
                (mStartNanos - mRequest.arrivalNanos()) / NANOS_PER_MILLI,
                mContext.load().totalLoad(upstream, mStartNanos).running(),
                Math.round(mPlacement.firstTokenMillis()),
                AttemptRecord.RUNNING);
    }

    private AttemptId id() {
        return mLifecycle.exchange().id().attempt(mLifecycle.attempts());
    }

    /** Cancels the attempt and closes the connection to the upstream. */
    void cancel() {
        if (end("cancelled", Execution.UNKNOWN, "")) {
            mCall.ifPresent(UpstreamCall::cancel);
        }
    }

    /** Pauses reading from the upstream. */
    void pause() {
        mPaused = true;
        mCall.ifPresent(UpstreamCall::pause);
    }

    void resume() {
        mPaused = false;
        mLastEventNanos = now();
        mCall.ifPresent(UpstreamCall::resume);
    }

    @Override
    public void headReceived(UpstreamResponseHead head) {
        mUpstream.ifPresent(u -> mContext.rateLimits().responseReceived(u, head.rateLimit()));
    }

    @Override
    public void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event) {
        if (mEnded) {
            return;
        }
        switch (mSequence.check(event)) {
            case NEXT -> {
                recordEvent();
                mListener.event(head, headers, event);
            }
            case AFTER_GAP -> {
                mCall.ifPresent(UpstreamCall::cancel);
                failed(new CallFailure(CallFailure.Kind.BROKEN, "events are missing"));
            }
            case REPEATED -> {
                // An earlier attempt has delivered the event to the caller.
            }
        }
    }

    @Override
    public void streamEnded(UpstreamResponseHead head, MultiMap headers) {
        if (end("ok", Execution.RAN, "")) {
            mObservations.streamEnded();
            mListener.streamEnded(head, headers);
        }
    }

    @Override
    public void responseReceived(UpstreamResponseHead head, MultiMap headers, Buffer body) {
        if (end("status_" + head.status(), Execution.RAN, "")) {
            mObservations.succeeded();
            mListener.responseReceived(head, headers, body);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (end(failure.kind().code(), failure.execution(), failure.reason())) {
            mListener.failed(mObservations.failed(failure), failure);
        }
    }

    private void recordEvent() {
        long now = now();
        if (mStalled) {
            mStalled = false;
            mObservations.logStall(
                    id(), Duration.ofNanos(now - mLastEventNanos), "the upstream goes on");
        }
        mReservation.ifPresent(HelperMemoryReservation::tokenReceived);
        if (mFirstEvent) {
            mFirstEvent = false;
            mLoad.firstToken();
            if (mReservation.isEmpty()) {
                mLiveness.ifPresent(LivenessCheck::stop);
            }
            mObservations.firstEvent((now - mStartNanos) / (double) NANOS_PER_MILLI);
        } else {
            mObservations.furtherEvent();
            mLifecycle.logRecord().recordGap((now - mLastEventNanos) / NANOS_PER_MILLI);
        }
        mLastEventNanos = now;
    }

    private List<Upstream> helpers() {
        return mPlacement.helpers().stream()
                .flatMap(id -> mContext.view().upstream(id).stream())
                .toList();
    }

    private List<HelperAddress> helpersWithoutReservation() {
        return helpers().stream()
                .map(helper -> new HelperAddress(helper.address(), Optional.empty()))
                .toList();
    }

    private void reserve() {
        HelperMemoryReservation reservation =
                new HelperMemoryReservation(
                        mContext, id().value(), helpers(), mPlacement.reservedTokensPerHelper());
        mReservation = Optional.of(reservation);
        reservation.acquire(
                new HelperMemoryReservation.Outcome() {
                    @Override
                    public void reserved(List<HelperAddress> helpers) {
                        if (!mEnded) {
                            call(helpers);
                        }
                    }

                    @Override
                    public void refused(Upstream helper) {
                        failed(
                                new CallFailure(
                                        CallFailure.Kind.NOT_RESERVED,
                                        "memory could not be reserved at " + helper.id(),
                                        Optional.of(helper.address().toString())));
                    }

                    @Override
                    public void unused() {
                        // The memory is free again, also for the next attempt.
                        mLoad.end();
                        continueElsewhere("the engine has not begun the request");
                    }
                });
    }

    private void call(List<HelperAddress> helpers) {
        Optional<Upstream> upstream = mContext.view().upstream(mPlacement.upstream());
        if (upstream.isEmpty()) {
            failed(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "the upstream has left"));
            return;
        }
        Duration remaining =
                Duration.ofNanos(mRequest.deadlineNanos() - now()).minus(RESPONSE_TRANSIT_TIME);
        AttemptHeaders attempt =
                new AttemptHeaders(
                        remaining.isNegative() ? Duration.ZERO : remaining,
                        mPlacement.upstream(),
                        mRequest.workspace(),
                        mRequest.rank(),
                        mLifecycle.lastEventId(),
                        helpers);
        UpstreamCall call =
                new UpstreamCall(
                        mContext.client(),
                        mContext.wire(),
                        mLifecycle.exchange().id().value(),
                        mLifecycle.isStream(),
                        this);
        mCall = Optional.of(call);
        mLastEventNanos = now();
        checkIdle();
        startLivenessCheck(upstream.get());
        call.start(
                upstream.get().address(),
                mRequest.method(),
                mRequest.uri(),
                headers(attempt),
                mRequest.body());
    }

    private MultiMap headers(AttemptHeaders attempt) {
        MultiMap headers = mContext.wire().upstreamHeaders(mRequest.headers(), attempt);
        if (mSpan.isRecording()) {
            headers.set(TRACE_HEADER, mContext.tracing().traceparent(mSpan));
        }
        return headers;
    }

    /** Probes engines during long prefills and while memory is reserved on helper engines. */
    private void startLivenessCheck(Upstream engine) {
        boolean hasReservation = mReservation.isPresent();
        if (hasReservation || mPlacement.firstTokenMillis() > MIN_CHECKED_PREFILL_MILLIS) {
            LivenessCheck check = new LivenessCheck(mContext, engine, this::engineLost);
            mLiveness = Optional.of(check);
            check.start();
        }
    }

    private void engineLost(String reason) {
        mObservations.unresponsive();
        mCall.ifPresent(UpstreamCall::cancel);
        failed(new CallFailure(CallFailure.Kind.BROKEN, reason));
    }

    private void checkIdle() {
        if (!mRequest.route().retryable()) {
            return;
        }
        Duration timeout = mIdleTimeout.timeout(mFirstEvent);
        long idleNanos = mPaused ? 0 : now() - mLastEventNanos;
        long remainingNanos = timeout.toNanos() - idleNanos;
        if (remainingNanos <= 0) {
            mObservations.unresponsive();
            if (continueElsewhere("nothing arrived for " + timeout.toMillis() + " ms")) {
                mObservations.logStall(id(), timeout, "the request continues at another upstream");
                return;
            }
            mObservations.logStall(id(), timeout, "no other upstream can take the request");
            mStalled = true;
            // No other upstream can continue the response, so idleness alone does not end it.
            remainingNanos = timeout.toNanos();
        }
        mIdleTimer = mContext.clock().schedule(Duration.ofNanos(remainingNanos), this::checkIdle);
    }

    /** Ends the attempt if another upstream can take the request now. */
    private boolean continueElsewhere(String reason) {
        if (mEnded
                || !mRequest.route().retryable()
                || !mListener.tryReserveRetryElsewhere(mPlacement.upstream())) {
            return false;
        }
        mCall.ifPresent(UpstreamCall::cancel);
        failed(new CallFailure(CallFailure.Kind.SILENT, reason));
        return true;
    }

    private boolean end(String code, Execution execution, String reason) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mIdleTimer.cancel();
        mLiveness.ifPresent(LivenessCheck::stop);
        mLifecycle.logRecord().attemptEnded(new AttemptRecord.End(code, execution, reason));
        mSpan.setAttribute("code", code);
        mSpan.end();
        mLoad.end();
        mReservation.ifPresent(HelperMemoryReservation::release);
        mLifecycle.capacityChanged();
        return true;
    }

    private long now() {
        return mContext.clock().nanoTime();
    }
}
