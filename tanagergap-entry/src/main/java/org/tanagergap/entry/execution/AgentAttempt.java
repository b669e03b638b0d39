package org.tanagergap.entry.execution;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.vertx.core.Context;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.common.GrpcStatus;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/** One attempt of a request on one agent. Confined to the event loop of the request. */
final class AgentAttempt {

    /** Two exchange intervals; a live agent sends at least one message within this time. */
    private static final Duration ACTIVITY_WINDOW = Duration.ofSeconds(4);

    private final ExecutorContext mContext;
    private final CallerRequest mRequest;
    private final AttemptId mId;
    private final AgentEndpoint mAgent;
    private final AgentAttemptListener mListener;
    private final EventChecker mChecker;
    private final Span mSpan;
    private final AttemptLogRecord mLogRecord;
    private final long mStartNanos;
    private final StallTimer mStallTimer;
    private final AgentCall mCall;

    private Execution mExecution = Execution.NOT_RUN;
    private boolean mResponseStarted;
    private boolean mPaused;
    private boolean mEnded;
    private boolean mStalled;
    private Duration mStallTimeout = StallTimeout.BASE;
    private Optional<Admitted> mAdmitted = Optional.empty();

    AgentAttempt(
            ExecutorContext context,
            Context eventLoop,
            CallerRequest request,
            AttemptId id,
            AgentEndpoint agent,
            long firstIndex,
            AttemptLogRecord logRecord,
            AgentAttemptListener listener) {
        mContext = context;
        mRequest = request;
        mId = id;
        mAgent = agent;
        mLogRecord = logRecord;
        mStartNanos = context.clock().nanoTime();
        mListener = listener;
        mStallTimer = new StallTimer(context.clock(), eventLoop, this::stalled);
        mCall = new AgentCall(context, eventLoop, agent.address(), id);
        mChecker = new EventChecker(id, firstIndex);
        mSpan = context.tracing().startChild("attempt", SpanKind.CLIENT, request.span());
        mSpan.setAttribute("attempt_id", id.value());
        mSpan.setAttribute("upstream", agent.name());
    }

    AgentEndpoint agent() {
        return mAgent;
    }

    /** Execution status so far; unknown from the send of the request to its first output. */
    Execution execution() {
        return mExecution;
    }

    /** Message of the agent that it sends the attempt to its upstream, if one has arrived. */
    Optional<Admitted> admitted() {
        return mAdmitted;
    }

    void start(Resumption resumption, SpanningPromptReservation reservation) {
        mContext.metrics().attemptStarted();
        if (reservation != SpanningPromptReservation.NONE) {
            mStallTimeout = StallTimeout.BASE_WITH_RESERVATION;
        }
        armStallTimer();
        mContext.clients()
                .connectForRun(mAgent.address())
                .onComplete(
                        call -> connected(call, resumption, reservation),
                        failure -> connectFailed(failure));
    }

    /** Cancels the attempt; its listener receives no further calls. */
    void cancel() {
        if (mEnded) {
            return;
        }
        end(StatusCode.ERROR);
        mCall.close();
    }

    /** Fails the attempt, for which memory of other engines may be reserved no longer. */
    void giveUp() {
        failAndCancel("agent " + mAgent.name() + " sent nothing for too long");
    }

    /** Stops reading from the agent, because the caller reads too slowly. */
    void pause() {
        if (mEnded) {
            return;
        }
        mPaused = true;
        mStallTimer.cancel();
        mCall.pause();
    }

    void resume() {
        mPaused = false;
        if (mEnded) {
            return;
        }
        armStallTimer();
        mCall.resume();
    }

    private void connected(
            GrpcClientRequest<RunRequest, RunEvent> call,
            Resumption resumption,
            SpanningPromptReservation reservation) {
        if (mEnded) {
            call.cancel();
            return;
        }
        mCall.connected(call);
        long timeToDeadlineMillis = mRequest.deadline().remaining(mContext.clock()).toMillis();
        if (timeToDeadlineMillis <= 0) {
            fail(RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "the deadline has passed"));
            return;
        }
        mExecution = Execution.UNKNOWN;
        call.exceptionHandler(this::streamFailed);
        call.response().onComplete(this::streamOpened, this::streamFailed);
        call.end(
                        RunRequestWriter.write(
                                mRequest,
                                mId,
                                resumption,
                                reservation,
                                timeToDeadlineMillis,
                                mContext.hints().knownPrefixRevision(mAgent.name()),
                                mContext.tracing().traceparent(mSpan)))
                .onFailure(this::streamFailed);
    }

    private void streamOpened(GrpcClientResponse<RunRequest, RunEvent> stream) {
        mCall.opened(stream);
        mContext.router().connectionSucceeded(mAgent.name());
        stream.exceptionHandler(this::streamFailed);
        stream.invalidMessageHandler(this::streamFailed);
        stream.endHandler(ignored -> streamEnded(stream.status()));
        stream.handler(this::eventReceived);
        if (mPaused && !mEnded) {
            stream.pause();
        }
    }

    private void eventReceived(RunEvent event) {
        mContext.activity().recordActivity(mAgent.name());
        if (mEnded) {
            mContext.metrics().eventDropped(EventVerdict.LATE.label());
            return;
        }
        EventVerdict verdict = mChecker.check(event);
        if (verdict == EventVerdict.GAP) {
            mContext.metrics().eventDropped(verdict.label());
            failAndCancel("the upstream's answer lacks token " + mChecker.nextIndex());
            return;
        }
        if (verdict != EventVerdict.ACCEPT) {
            mContext.metrics().eventDropped(verdict.label());
            return;
        }
        if (event.hasHint()) {
            LoadHint hint = mContext.hints().read(mAgent.name(), event.getHint());
            mContext.router().hintReceived(mAgent.name(), hint);
        }
        accept(event);
    }

    private void accept(RunEvent event) {
        if (mStalled) {
            mStalled = false;
            mContext.router().connectionSucceeded(mAgent.name());
        }
        boolean completion = mRequest.payload() instanceof RequestPayload.Completion;
        if (completion ? event.hasHead() || event.hasBody() : event.hasToken()) {
            mContext.metrics().eventDropped("unexpected");
            return;
        }
        switch (event.getEventCase()) {
            case FAILED -> {
                mCall.awaitEnd();
                fail(WireFailures.read(event.getFailed()));
            }
            case FINISHED -> {
                mExecution = Execution.RAN;
                mLogRecord.finished(elapsedMillis());
                mCall.awaitEnd();
                end(StatusCode.OK);
                mListener.event(this, event);
            }
            case ADMITTED -> {
                mAdmitted = Optional.of(event.getAdmitted());
                mLogRecord.admitted(event.getAdmitted());
                armStallTimer();
                mListener.event(this, event);
            }
            case TOKEN, HEAD, BODY -> {
                mExecution = Execution.RAN;
                mResponseStarted = true;
                armStallTimer();
                mListener.event(this, event);
            }
            default -> mContext.metrics().eventDropped("empty");
        }
    }

    private void streamEnded(GrpcStatus status) {
        mCall.ended();
        if (!mEnded) {
            streamFailed(new IllegalStateException("stream ended early with status " + status));
        }
    }

    private void connectFailed(Throwable cause) {
        if (mEnded) {
            return;
        }
        mContext.router().connectionFailed(mAgent.name());
        fail(AgentFailures.unreachable(mAgent.name(), cause));
    }

    private void streamFailed(Throwable cause) {
        if (mEnded) {
            return;
        }
        boolean answered = mExecution == Execution.RAN || mAdmitted.isPresent();
        if (!answered && AgentFailures.isRefusal(cause)) {
            fail(AgentFailures.refused(mAgent.name(), cause));
            return;
        }
        mContext.router().connectionFailed(mAgent.name());
        fail(AgentFailures.broken(mAgent.name(), mExecution, cause));
        mCall.reset();
    }

    private void stalled() {
        if (mEnded || mPaused) {
            return;
        }
        armStallTimer();
        // An agent that responds to other calls is live; the attempt waits in its queue. Response
        // headers come with the first event, so an attempt in the queue has no stream yet.
        if (!mResponseStarted
                && mCall.isConnected()
                && mContext.activity().wasActiveWithin(mAgent.name(), ACTIVITY_WINDOW)) {
            return;
        }
        if (!mStalled) {
            mStalled = true;
            mContext.metrics().stalled();
            mContext.router().connectionFailed(mAgent.name());
        }
        mLogRecord.stalled(mListener.stalled(this));
    }

    private void failAndCancel(String message) {
        fail(RequestFailure.of(FailureCode.UPSTREAM_FAILED, mExecution, message));
        mCall.close();
    }

    private void fail(RequestFailure failure) {
        mExecution = failure.execution();
        mLogRecord.failed(failure, elapsedMillis());
        end(StatusCode.ERROR);
        AgentFailures.log(mRequest.id(), mId, mAgent.name(), failure);
        mListener.failed(this, failure);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mContext.clock().nanoTime() - mStartNanos);
    }

    private void end(StatusCode status) {
        mEnded = true;
        mStallTimer.cancel();
        mContext.router().attemptEnded(mId);
        mSpan.setStatus(status);
        mSpan.end();
    }

    private void armStallTimer() {
        if (mPaused) {
            return;
        }
        Optional<LoadHint> hint = mContext.router().hint(mAgent.name());
        mStallTimer.restart(
                mResponseStarted
                        ? mStallTimeout
                        : StallTimeout.beforeResponse(mStallTimeout, hint, mRequest.payload()));
    }
}
