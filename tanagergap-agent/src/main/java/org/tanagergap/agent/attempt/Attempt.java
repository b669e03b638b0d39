package org.tanagergap.agent.attempt;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.Timer;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Lifecycle of one attempt, from its admission to the release of its reservation. The caller
 * receives the last event as soon as the outcome is known; the reservation may be kept until the
 * upstream has stopped. All methods run on the agent's event loop.
 */
public abstract class Attempt {

    private enum Phase {
        QUEUED,
        RUNNING,
        ENDED
    }

    protected final AttemptContext mContext;
    protected final RunRequest mRequest;
    protected final Deadline mDeadline;
    private final AttemptId mId;
    private final EventSink mSink;
    private final Span mSpan;
    private final AttemptLog mLog;
    private final long mArrivalNanos;
    private Phase mPhase = Phase.QUEUED;
    private Reservation mReservation = tokens -> {};
    private Timer mDeadlineTimer = () -> {};
    private boolean mHintSent;
    private long mKnownPrefixRevision;
    private boolean mReleased;
    private long mDispatchedNanos;

    protected Attempt(AttemptContext context, RunRequest request, EventSink sink) {
        mContext = Objects.requireNonNull(context, "context must not be null");
        mRequest = Objects.requireNonNull(request, "request must not be null");
        mSink = Objects.requireNonNull(sink, "sink must not be null");
        mLog = new AttemptLog(context, request);
        mId = new AttemptId(request.getAttemptId());
        mKnownPrefixRevision = request.getKnownPrefixRevision();
        mArrivalNanos = context.clock().nanoTime();
        mDeadline =
                Deadline.after(
                        context.clock(), ProtocolMessages.timeLeft(request.getDeadlineLeftMs()));
        mSpan =
                context.tracing()
                        .start("agent.run", SpanKind.SERVER, Optional.of(request.getTraceparent()));
        mSpan.setAttribute("attempt_id", mId.value());
    }

    public final AttemptId id() {
        return mId;
    }

    public final Deadline deadline() {
        return mDeadline;
    }

    /** Sets the reservation to release at the end and starts the deadline timer. */
    public final void admit(Reservation reservation) {
        mReservation = reservation;
        mDeadlineTimer =
                mContext.clock()
                        .schedule(
                                mDeadline.remaining(mContext.clock()),
                                () -> mContext.loop().execute(this::deadlinePassed));
    }

    /** Sends a queued attempt to the upstream, or fails it if its deadline has passed. */
    public final void dispatch() {
        if (mPhase != Phase.QUEUED) {
            return;
        }
        if (mDeadline.hasPassed(mContext.clock())) {
            deadlinePassed();
            return;
        }
        mPhase = Phase.RUNNING;
        long queuedNanos = mContext.clock().nanoTime() - mArrivalNanos;
        mDispatchedNanos = mArrivalNanos + queuedNanos;
        mContext.metrics().timer("agent_queue_seconds").update(queuedNanos, TimeUnit.NANOSECONDS);
        sendUpstream();
    }

    /** Ends the attempt with a failure; a running attempt is also stopped at the upstream. */
    public final void fail(RequestFailure failure) {
        if (mPhase == Phase.ENDED) {
            return;
        }
        boolean running = mPhase == Phase.RUNNING;
        long queuedMillis = queuedMillis();
        end();
        mLog.failed(failure, queuedMillis, elapsedMillis());
        mSpan.setStatus(StatusCode.ERROR, failure.code().wireName());
        RunEvent event =
                withHint(RunEvent.newBuilder().setFailed(ProtocolMessages.failed(failure)));
        stopOrRelease(running);
        mSink.send(event);
        mSink.end();
    }

    /** Ends the attempt without a last event, because its caller closed the call. */
    public final void closedByCaller() {
        if (mPhase == Phase.ENDED) {
            return;
        }
        boolean running = mPhase == Phase.RUNNING;
        long queuedMillis = queuedMillis();
        end();
        RequestFailure cancelled =
                RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        running ? knownExecution() : Execution.NOT_RUN,
                        "caller cancelled the attempt");
        mLog.failed(cancelled, queuedMillis, elapsedMillis());
        mSpan.setStatus(StatusCode.ERROR, "cancelled");
        stopOrRelease(running);
        mSink.end();
    }

    /** Sends the request to the upstream and processes the response. */
    protected abstract void sendUpstream();

    /** Stops the work at the upstream; {@link #release} must follow, immediately or later. */
    protected abstract void stopUpstream();

    /** Execution state that is certain for an attempt that was dispatched. */
    protected abstract Execution knownExecution();

    /** True until the first response of the upstream, whose list of runs may lack the attempt. */
    public abstract boolean isDispatchUnconfirmed();

    final boolean hasLeftQueue() {
        return mPhase != Phase.QUEUED;
    }

    /** True until the last event is sent or the caller closes the call. */
    protected final boolean isOpen() {
        return mPhase != Phase.ENDED;
    }

    protected final EventSink sink() {
        return mSink;
    }

    protected final Span span() {
        return mSpan;
    }

    /** Notifies the caller that the attempt is being sent to the upstream. */
    protected final void sendAdmitted() {
        long queuedNanos = mContext.clock().nanoTime() - mArrivalNanos;
        send(
                RunEvent.newBuilder()
                        .setAdmitted(
                                Admitted.newBuilder()
                                        .setQueuedMs(TimeUnit.NANOSECONDS.toMillis(queuedNanos))
                                        .setUpstream(mContext.upstream())
                                        .setFailureDomain(mContext.failureDomain())));
    }

    /** Sends an event that is not the last one. */
    protected final void send(RunEvent.Builder event) {
        if (mPhase != Phase.ENDED) {
            mSink.send(mHintSent ? event.setAttemptId(mId.value()).build() : withHint(event));
        }
    }

    /** Sends the last event of an attempt that succeeded. */
    protected final void finish(RunEvent.Builder event) {
        if (mPhase == Phase.ENDED) {
            return;
        }
        long queuedMillis = queuedMillis();
        end();
        mLog.finished(queuedMillis, elapsedMillis());
        mSink.send(withHint(event));
        mSink.end();
    }

    /** Releases the reservation; only the first call has an effect. */
    protected final void release(long outputTokens) {
        if (!mReleased) {
            mReleased = true;
            mReservation.release(outputTokens);
        }
    }

    private long queuedMillis() {
        long until = mPhase == Phase.QUEUED ? mContext.clock().nanoTime() : mDispatchedNanos;
        return TimeUnit.NANOSECONDS.toMillis(until - mArrivalNanos);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mContext.clock().nanoTime() - mArrivalNanos);
    }

    private void deadlinePassed() {
        boolean running = mPhase == Phase.RUNNING;
        fail(
                RequestFailure.of(
                        FailureCode.DEADLINE_EXCEEDED,
                        running ? knownExecution() : Execution.NOT_RUN,
                        running ? "deadline passed while running" : "deadline passed in queue"));
    }

    private void end() {
        mPhase = Phase.ENDED;
        mDeadlineTimer.cancel();
        mSpan.end();
    }

    private void stopOrRelease(boolean running) {
        if (running) {
            stopUpstream();
        } else {
            release(0);
        }
    }

    private RunEvent withHint(RunEvent.Builder event) {
        mHintSent = true;
        Hint hint = mContext.hints().apply(mKnownPrefixRevision);
        mKnownPrefixRevision = hint.getPrefixRevision();
        return event.setAttemptId(mId.value()).setHint(hint).build();
    }
}
