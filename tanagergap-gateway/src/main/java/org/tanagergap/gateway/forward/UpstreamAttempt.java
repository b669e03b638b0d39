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
import org.tanagergap.runtime.settings.HostPort;

/**
 * One attempt of a request: reserves memory where the prompt needs several engines, calls the
 * upstream, watches for silence and accounts for the work. Confined to the event loop.
 */
final class UpstreamAttempt implements UpstreamCallListener {

    /** The upstream should stop before this instance does, so that its answer still arrives. */
    private static final Duration ANSWER_TRAVEL_TIME = Duration.ofMillis(10);

    private static final Duration REFUSED_SUSPENSION = Duration.ofMillis(60);
    private static final Duration REPLACED_SUSPENSION = Duration.ofSeconds(3);

    /** Reads with a longer prediction are watched for the death of their engine, in ms. */
    private static final double WATCHED_READ_MILLIS = 1_000;

    static final String TRACE_HEADER = "traceparent";

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ForwardingContext mParts;
    private final RequestLifecycle mFlow;
    private final GatewayRequest mRequest;
    private final Placement mPlacement;
    private final UpstreamAttemptListener mListener;
    private final AttemptLoad mWork;
    private final EventSequenceChecker mOrder;
    private final UpstreamIdleTimeout mSilence;
    private Optional<HelperMemoryReservation> mReservation = Optional.empty();
    private Optional<UpstreamCall> mCall = Optional.empty();
    private Optional<LivenessCheck> mLiveness = Optional.empty();
    private Span mSpan = Span.getInvalid();
    private long mStartNanos;
    private long mLastEventNanos;
    private boolean mFirstEvent = true;
    private boolean mPaused;
    private boolean mEnded;
    private Timer mSilenceTimer = () -> {};

    UpstreamAttempt(
            ForwardingContext parts,
            RequestLifecycle flow,
            Placement placement,
            UpstreamAttemptListener listener) {
        mParts = parts;
        mFlow = flow;
        mRequest = flow.request();
        mPlacement = placement;
        mListener = listener;
        mSilence = new UpstreamIdleTimeout(mRequest.route(), placement.firstTokenMillis());
        mWork = new AttemptLoad(parts);
        mOrder = new EventSequenceChecker(flow.lastEventId());
    }

    /** Starts the attempt. */
    void start() {
        mStartNanos = now();
        mSpan = mParts.tracing().startChild("attempt", SpanKind.CLIENT, mFlow.span());
        mFlow.journal().attempt(record());
        mWork.begin(mPlacement, mFlow.times().placementRequest(), mRequest.service().engine());
        if (mPlacement.helperTokens() > 0) {
            reserve();
        } else {
            call(plainHelpers());
        }
    }

    private AttemptRecord record() {
        String upstream = mPlacement.upstream();
        return new AttemptRecord(
                id(),
                upstream,
                mParts.view().upstream(upstream).map(Upstream::failureDomain).orElse(""),
                mPlacement.helpers().size(),
                (mStartNanos - mRequest.arrivalNanos()) / NANOS_PER_MILLI,
                mParts.load().total(upstream, mStartNanos).running(),
                Math.round(mPlacement.firstTokenMillis()),
                AttemptRecord.RUNNING);
    }

    private AttemptId id() {
        return mFlow.exchange().id().attempt(mFlow.attempts());
    }

    /** Ends the attempt; the upstream sees its connection close. */
    void cancel() {
        if (end("cancelled", Execution.UNKNOWN, "")) {
            mCall.ifPresent(UpstreamCall::cancel);
        }
    }

    /** Stops reading from the upstream. */
    void pause() {
        mPaused = true;
        mCall.ifPresent(UpstreamCall::pause);
    }

    /** Reads on. */
    void resume() {
        mPaused = false;
        mLastEventNanos = now();
        mCall.ifPresent(UpstreamCall::resume);
    }

    @Override
    public void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event) {
        if (mEnded) {
            return;
        }
        switch (mOrder.check(event)) {
            case NEXT -> {
                noteEvent();
                mListener.event(head, headers, event);
            }
            case AFTER_GAP -> {
                mCall.ifPresent(UpstreamCall::cancel);
                failed(new CallFailure(CallFailure.Kind.BROKEN, "events are missing"));
            }
            case REPEATED -> {
                // The caller has it from an earlier attempt.
            }
        }
    }

    @Override
    public void streamEnded(UpstreamResponseHead head, MultiMap headers) {
        if (end("ok", Execution.RAN, "")) {
            mParts.trust().succeeded(mPlacement.upstream());
            mListener.streamEnded(head, headers);
        }
    }

    @Override
    public void answered(UpstreamResponseHead head, MultiMap headers, Buffer body) {
        if (end("status_" + head.status(), Execution.RAN, "")) {
            mParts.trust().succeeded(mPlacement.upstream());
            mListener.answered(head, headers, body);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        if (end(failure.kind().code(), failure.execution(), failure.reason())) {
            String upstream = upstreamAtFault(failure);
            noteFailure(upstream, failure);
            mListener.failed(upstream, failure);
        }
    }

    private void noteEvent() {
        long now = now();
        if (mFirstEvent) {
            mFirstEvent = false;
            mWork.firstToken();
            if (mReservation.isEmpty()) {
                mLiveness.ifPresent(LivenessCheck::stop);
            }
            noteFirstEvent((now - mStartNanos) / (double) NANOS_PER_MILLI);
        } else {
            mFlow.journal().gap((now - mLastEventNanos) / NANOS_PER_MILLI);
        }
        mLastEventNanos = now;
    }

    private void noteFirstEvent(double millis) {
        if (mPlacement.firstTokenMillis() > 0 && mPlacement.helpers().isEmpty()) {
            mParts.trust().observed(mPlacement.upstream(), mSilence.slowness(millis));
        }
    }

    private String upstreamAtFault(CallFailure failure) {
        return failure.faultyAddress()
                .flatMap(mParts.view()::upstreamAt)
                .map(Upstream::id)
                .orElse(mPlacement.upstream());
    }

    private void noteFailure(String upstream, CallFailure failure) {
        long now = now();
        switch (failure.kind()) {
            case NOT_CONNECTED -> mParts.trust().unreachable(upstream, now);
            case BROKEN -> mParts.trust().failed(upstream, now);
            case REFUSED -> mParts.trust().suspend(upstream, REFUSED_SUSPENSION, now);
            case OTHER_UPSTREAM -> mParts.trust().suspend(upstream, REPLACED_SUSPENSION, now);
            case SILENT, NOT_RESERVED -> {
                // Silence was noted when it was found; an engine without free memory is sound.
            }
        }
    }

    private List<Upstream> helpers() {
        return mPlacement.helpers().stream()
                .flatMap(id -> mParts.view().upstream(id).stream())
                .toList();
    }

    private List<HelperAddress> plainHelpers() {
        return helpers().stream()
                .map(helper -> new HelperAddress(helper.address(), Optional.empty()))
                .toList();
    }

    private void reserve() {
        HelperMemoryReservation reservation =
                new HelperMemoryReservation(
                        mParts, id().value(), helpers(), mPlacement.helperTokens());
        mReservation = Optional.of(reservation);
        reservation.acquire(
                new HelperMemoryReservation.Outcome() {
                    @Override
                    public void held(List<HelperAddress> helpers) {
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
                });
    }

    private void call(List<HelperAddress> helpers) {
        Optional<Upstream> upstream = mParts.view().upstream(mPlacement.upstream());
        if (upstream.isEmpty()) {
            failed(new CallFailure(CallFailure.Kind.NOT_CONNECTED, "the upstream has left"));
            return;
        }
        Duration left =
                Duration.ofNanos(mRequest.deadlineNanos() - now()).minus(ANSWER_TRAVEL_TIME);
        AttemptHeaders attempt =
                new AttemptHeaders(
                        left.isNegative() ? Duration.ZERO : left,
                        mPlacement.upstream(),
                        mRequest.workspace(),
                        mRequest.rank(),
                        mFlow.lastEventId(),
                        helpers);
        UpstreamCall call =
                new UpstreamCall(
                        mParts.client(),
                        mParts.wire(),
                        mFlow.exchange().id().value(),
                        mFlow.isStream(),
                        this);
        mCall = Optional.of(call);
        mLastEventNanos = now();
        watchSilence();
        watchLiveness(upstream.get().address());
        call.start(
                upstream.get().address(),
                mRequest.method(),
                mRequest.uri(),
                headers(attempt),
                mRequest.body());
    }

    private MultiMap headers(AttemptHeaders attempt) {
        MultiMap headers = mParts.wire().toUpstream(mRequest.headers(), attempt);
        if (mSpan.isRecording()) {
            headers.set(TRACE_HEADER, mParts.tracing().traceparent(mSpan));
        }
        return headers;
    }

    /** Long reads are watched, and so is a run for which memory is reserved elsewhere. */
    private void watchLiveness(HostPort address) {
        boolean reserved = mReservation.isPresent();
        if (reserved || mPlacement.firstTokenMillis() > WATCHED_READ_MILLIS) {
            LivenessCheck check = new LivenessCheck(mParts, address, this::foundDead);
            mLiveness = Optional.of(check);
            check.start();
        }
    }

    private void foundDead() {
        mParts.trust().unreachable(mPlacement.upstream(), now());
        mCall.ifPresent(UpstreamCall::cancel);
        failed(new CallFailure(CallFailure.Kind.BROKEN, "the engine no longer answers"));
    }

    private void watchSilence() {
        if (!mRequest.route().repeatable()) {
            return;
        }
        Duration limit = mSilence.limit(mFirstEvent);
        long silentNanos = mPaused ? 0 : now() - mLastEventNanos;
        long leftNanos = limit.toNanos() - silentNanos;
        if (leftNanos <= 0) {
            mParts.trust().unreachable(mPlacement.upstream(), now());
            if (mListener.maySendElsewhere(mPlacement.upstream())) {
                String reason = "nothing arrived for " + limit.toMillis() + " ms";
                mCall.ifPresent(UpstreamCall::cancel);
                failed(new CallFailure(CallFailure.Kind.SILENT, reason));
                return;
            }
            // Silence alone is no reason to end an answer that nobody else can go on with.
            leftNanos = limit.toNanos();
        }
        mSilenceTimer = mParts.clock().schedule(Duration.ofNanos(leftNanos), this::watchSilence);
    }

    private boolean end(String code, Execution execution, String reason) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mSilenceTimer.cancel();
        mLiveness.ifPresent(LivenessCheck::stop);
        mFlow.journal().attemptEnded(new AttemptRecord.End(code, execution, reason));
        mSpan.setAttribute("code", code);
        mSpan.end();
        mWork.end();
        mReservation.ifPresent(HelperMemoryReservation::release);
        mFlow.capacityChanged();
        return true;
    }

    private long now() {
        return mParts.clock().nanoTime();
    }
}
