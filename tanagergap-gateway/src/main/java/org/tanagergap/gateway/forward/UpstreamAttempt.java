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
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.stall.IdleTimeout;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.HelperAddress;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/**
 * One attempt of a request: reserves memory on helper engines if needed, calls the upstream,
 * reports stalls and accounts for the load. Confined to the event loop.
 */
final class UpstreamAttempt implements UpstreamCallListener {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ForwardingContext mContext;
    private final RequestLifecycle mLifecycle;
    private final AttemptId mId;
    private final GatewayRequest mRequest;
    private final Placement mPlacement;
    private final UpstreamAttemptListener mListener;
    private final AttemptLoad mLoad;
    private final EventSequenceChecker mSequence;
    private final ProgressChecks mChecks;
    private final AttemptObservations mObservations;
    private Optional<Upstream> mUpstream = Optional.empty();
    private Optional<HelperMemoryReservation> mReservation = Optional.empty();
    private Optional<UpstreamCall> mCall = Optional.empty();
    private Span mSpan = Span.getInvalid();
    private long mStartNanos;
    private long mCallNanos;
    private boolean mFirstEvent = true;
    private boolean mStalled;
    private boolean mEnded;

    UpstreamAttempt(
            ForwardingContext context,
            RequestLifecycle lifecycle,
            AttemptId id,
            Placement placement,
            UpstreamAttemptListener listener) {
        mContext = context;
        mLifecycle = lifecycle;
        mId = id;
        mRequest = lifecycle.request();
        mPlacement = placement;
        mListener = listener;
        IdleTimeout idleTimeout = ProgressChecks.idleTimeout(lifecycle, placement);
        mChecks = new ProgressChecks(context, idleTimeout, this::stalled);
        mObservations = new AttemptObservations(context, lifecycle, placement, idleTimeout);
        mLoad = new AttemptLoad(context);
        mSequence = new EventSequenceChecker(lifecycle.lastEventId(), lifecycle.responseStarted());
    }

    void start() {
        mStartNanos = now();
        mUpstream = mContext.view().upstream(mPlacement.upstream());
        mUpstream.ifPresent(mContext.rateLimits()::sent);
        mSpan = mContext.tracing().startChild("attempt", SpanKind.CLIENT, mLifecycle.span());
        mLifecycle
                .logRecord()
                .attemptStarted(
                        AttemptRecord.started(mContext, mRequest, mId, mPlacement, mStartNanos));
        mContext.unsentAttempts().add(this);
        mLoad.begin(
                mPlacement, mLifecycle.times().placementRequest(0), mRequest.service().engine());
        if (mPlacement.reservedTokensPerHelper() > 0) {
            reserve();
        } else {
            call(HelperEngines.withoutReservation(mContext.view(), mPlacement));
        }
    }

    /** Upstream to which the attempt is sent. */
    String upstream() {
        return mPlacement.upstream();
    }

    /** Returns true if the attempt uses the upstream, also as a helper engine. */
    boolean needs(String upstream) {
        return mPlacement.upstream().equals(upstream) || mPlacement.helpers().contains(upstream);
    }

    /** Fails the attempt before it is sent, because one of its upstreams is leaving. */
    void upstreamUnavailable(String upstream) {
        mCall.ifPresent(UpstreamCall::cancel);
        CallFailure failure =
                new CallFailure(CallFailure.Kind.UPSTREAM_LEFT, upstream + " is leaving");
        if (end(failure.kind().code(), failure.execution(), failure.reason())) {
            mListener.failed(this, upstream, failure);
        }
    }

    /** Cancels the attempt and closes the connection to the upstream. */
    void cancel() {
        if (end("cancelled", Execution.UNKNOWN, "")) {
            mCall.ifPresent(UpstreamCall::cancel);
        }
    }

    /** Pauses reading from the upstream. */
    void pause() {
        mChecks.pause();
        mReservation.ifPresent(HelperMemoryReservation::readingPaused);
        mCall.ifPresent(UpstreamCall::pause);
    }

    void resume() {
        mChecks.resume();
        mCall.ifPresent(UpstreamCall::resume);
    }

    /** Logs that nothing has arrived for a time, and what follows from it. */
    void logStall(Duration silence, String decision) {
        mObservations.logStall(mId, silence, decision);
    }

    @Override
    public void requestSent() {
        mContext.unsentAttempts().remove(this);
        mObservations.connected((now() - mCallNanos) / (double) NANOS_PER_MILLI);
    }

    @Override
    public void bodySent() {
        mReservation.ifPresent(reservation -> mUpstream.ifPresent(reservation::requestSent));
    }

    @Override
    public void headReceived(UpstreamResponseHead head) {
        mUpstream.ifPresent(u -> mContext.rateLimits().responseReceived(u, head.rateLimit()));
        head.coldRemaining()
                .ifPresent(
                        remaining ->
                                mUpstream.ifPresent(
                                        u ->
                                                mContext.rateLimits()
                                                        .coldObserved(u, remaining, true)));
    }

    @Override
    public void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event) {
        if (mEnded) {
            return;
        }
        mReservation.ifPresent(HelperMemoryReservation::tokenReceived);
        switch (mSequence.check(event)) {
            case NEXT -> {
                recordEvent();
                mListener.event(this, head, headers, event);
            }
            case AFTER_GAP -> broken("events are missing");
            case UNIDENTIFIED -> broken("the resumed stream has an event without an identifier");
            case REPEATED -> {
                // An earlier attempt has delivered the event to the caller.
            }
        }
    }

    @Override
    public void streamEnded(UpstreamResponseHead head, MultiMap headers) {
        if (mFirstEvent && !mListener.acceptsEmptyStream()) {
            failed(new CallFailure(CallFailure.Kind.BROKEN, "the stream has no further event"));
            return;
        }
        if (end("ok", Execution.RAN, "")) {
            mObservations.streamEnded();
            mListener.streamEnded(this, head, headers);
        }
    }

    @Override
    public void responseReceived(
            UpstreamResponseHead head, MultiMap headers, Buffer body, Runnable release) {
        mLifecycle.exchange().onRelease(release);
        if (end("status_" + head.status(), Execution.RAN, "")) {
            mObservations.succeeded();
            mListener.responseReceived(this, head, headers, body);
        }
    }

    @Override
    public void responseInvalid(String fault) {
        mObservations.responseInvalid(mId, fault);
    }

    @Override
    public void failed(CallFailure failure) {
        if (end(failure.kind().code(), failure.execution(), failure.reason())) {
            mListener.failed(this, mObservations.failed(failure), failure);
        }
    }

    /** Ends the call and fails the attempt. */
    void broken(String reason) {
        mCall.ifPresent(UpstreamCall::cancel);
        failed(new CallFailure(CallFailure.Kind.BROKEN, reason));
    }

    private void recordEvent() {
        Duration gap = mChecks.eventArrived();
        mObservations.progressed();
        if (mStalled) {
            mStalled = false;
            logStall(gap, "the upstream goes on");
        }
        if (mFirstEvent) {
            mFirstEvent = false;
            mLoad.firstToken();
            if (mReservation.isEmpty()) {
                mChecks.stopProbes();
            }
            mObservations.firstEvent((now() - mStartNanos) / (double) NANOS_PER_MILLI);
        } else {
            mObservations.furtherEvent();
            mLifecycle.logRecord().recordGap(gap.toMillis());
        }
    }

    private void reserve() {
        HelperMemoryReservation reservation =
                new HelperMemoryReservation(
                        mContext,
                        mId.value(),
                        HelperEngines.of(mContext.view(), mPlacement),
                        mPlacement.reservedTokensPerHelper());
        mReservation = Optional.of(reservation);
        reservation.acquire(new AttemptReservationOutcome(this, mLoad, mChecks, mListener));
    }

    /** Sends the request, for which the memory on the helper engines is reserved. */
    void reserved(List<HelperAddress> helpers) {
        if (!mEnded) {
            call(helpers);
        }
    }

    private void call(List<HelperAddress> helpers) {
        Optional<Upstream> upstream = mContext.view().upstream(mPlacement.upstream());
        if (upstream.isEmpty()) {
            failed(new CallFailure(CallFailure.Kind.UPSTREAM_LEFT, "the upstream has left"));
            return;
        }
        UpstreamCall call =
                new UpstreamCall(
                        mContext.client(),
                        mContext.responseMemory(),
                        mContext.wire(),
                        mLifecycle.exchange().id().value(),
                        mLifecycle.isStream(),
                        mRequest.route().retryable(),
                        this);
        mCall = Optional.of(call);
        if (mRequest.route().retryable()) {
            mChecks.startIdleCheck();
        }
        startProbes(upstream.get());
        mCallNanos = now();
        call.start(
                upstream.get().address(),
                mRequest.method(),
                mRequest.uri(),
                AttemptRequestHeaders.create(mContext, mLifecycle, mPlacement, helpers, mSpan),
                mRequest.body());
    }

    private void startProbes(Upstream engine) {
        mChecks.startProbes(
                engine,
                mReservation.isPresent(),
                mPlacement.firstTokenMillis(),
                this::engineLost,
                mObservations.checkingForCrash(this::stalled),
                mObservations::progressed);
    }

    private void engineLost(String reason) {
        mObservations.stalled();
        broken(reason);
    }

    /** Reports that nothing has arrived for a time. */
    void stalled(Duration silence) {
        if (!mEnded) {
            mStalled = true;
            mObservations.stalled();
            mListener.stalled(this, silence);
        }
    }

    private boolean end(String code, Execution execution, String reason) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mContext.unsentAttempts().remove(this);
        mChecks.stop();
        mLifecycle.logRecord().attemptEnded(mId, new AttemptRecord.End(code, execution, reason));
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
