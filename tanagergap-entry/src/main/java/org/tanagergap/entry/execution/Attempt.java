package org.tanagergap.entry.execution;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.vertx.core.Context;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.common.GrpcStatus;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.runtime.log.LogKeys;

/** One attempt of a request on one agent. Confined to the request's event loop. */
final class Attempt {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Two exchange intervals: a live agent is heard at least once within this time. */
    private static final Duration ACTIVITY_WINDOW = Duration.ofSeconds(4);

    /** Time for an agent to close a call after its last event. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final ExecutorContext mShared;
    private final Context mEventLoop;
    private final CallerRequest mRequest;
    private final AttemptId mId;
    private final AgentEndpoint mAgent;
    private final AttemptListener mListener;
    private final EventChecker mChecker;
    private final Span mSpan;
    private final AttemptTrace mTrace;
    private final long mStartNanos;

    private GrpcClientRequest<RunRequest, RunEvent> mCall;
    private GrpcClientResponse<RunRequest, RunEvent> mStream;
    private Execution mExecution = Execution.NOT_RUN;
    private boolean mAnswered;
    private boolean mPaused;
    private boolean mEnded;
    private Timer mStallTimer = () -> {};
    private Timer mLingerTimer = () -> {};

    Attempt(
            ExecutorContext shared,
            Context eventLoop,
            CallerRequest request,
            AttemptId id,
            AgentEndpoint agent,
            long firstIndex,
            AttemptTrace trace,
            AttemptListener listener) {
        mShared = shared;
        mEventLoop = eventLoop;
        mRequest = request;
        mId = id;
        mAgent = agent;
        mTrace = trace;
        mStartNanos = shared.clock().nanoTime();
        mListener = listener;
        mChecker = new EventChecker(id, firstIndex);
        mSpan = shared.tracing().startChild("attempt", SpanKind.CLIENT, request.span());
        mSpan.setAttribute("attempt_id", id.value());
        mSpan.setAttribute("upstream", agent.name());
    }

    AgentEndpoint agent() {
        return mAgent;
    }

    /** What is known about execution so far. */
    Execution execution() {
        return mExecution;
    }

    void start(Resumption resumption, SpanReservation reservation) {
        mShared.metrics().attemptStarted();
        armStallTimer();
        mShared.clients()
                .connectForRun(mAgent.address())
                .onComplete(
                        call -> connected(call, resumption, reservation),
                        failure -> connectionRefused(failure));
    }

    /** Cancels the attempt; its listener is not called any more. */
    void cancel() {
        if (mEnded) {
            return;
        }
        end(StatusCode.ERROR);
        closeCall();
    }

    /** Stops reading from the agent while the caller is slow. */
    void pause() {
        if (mEnded) {
            return;
        }
        mPaused = true;
        mStallTimer.cancel();
        if (mStream != null) {
            mStream.pause();
        }
    }

    void resume() {
        mPaused = false;
        if (mEnded) {
            return;
        }
        armStallTimer();
        if (mStream != null) {
            mStream.resume();
        }
    }

    private void connected(
            GrpcClientRequest<RunRequest, RunEvent> call,
            Resumption resumption,
            SpanReservation reservation) {
        if (mEnded) {
            call.cancel();
            return;
        }
        mCall = call;
        long leftMillis = mRequest.deadline().remaining(mShared.clock()).toMillis();
        if (leftMillis <= 0) {
            fail(RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "the deadline has passed"));
            return;
        }
        mExecution = Execution.UNKNOWN;
        call.exceptionHandler(this::broken);
        call.response().onComplete(this::answered, this::broken);
        call.end(
                        RunRequestWriter.write(
                                mRequest,
                                mId,
                                resumption,
                                reservation,
                                leftMillis,
                                mShared.hints().knownPrefixRevision(mAgent.name()),
                                mShared.tracing().traceparent(mSpan)))
                .onFailure(this::broken);
    }

    private void answered(GrpcClientResponse<RunRequest, RunEvent> stream) {
        mStream = stream;
        mShared.router().connectionSucceeded(mAgent.name());
        stream.exceptionHandler(this::broken);
        stream.invalidMessageHandler(this::broken);
        stream.endHandler(ignored -> streamEnded(stream.status()));
        stream.handler(this::received);
        if (mPaused && !mEnded) {
            stream.pause();
        }
    }

    private void received(RunEvent event) {
        mShared.activity().heard(mAgent.name());
        if (mEnded) {
            mShared.metrics().eventDropped(EventVerdict.LATE.label());
            return;
        }
        EventVerdict verdict = mChecker.check(event);
        if (verdict == EventVerdict.GAP) {
            mShared.metrics().eventDropped(verdict.label());
            failAndCancel("the upstream's answer lacks token " + mChecker.nextIndex());
            return;
        }
        if (verdict != EventVerdict.ACCEPT) {
            mShared.metrics().eventDropped(verdict.label());
            return;
        }
        if (event.hasHint()) {
            LoadHint hint = mShared.hints().read(mAgent.name(), event.getHint());
            mShared.router().hintReceived(mAgent.name(), hint);
        }
        accept(event);
    }

    private void accept(RunEvent event) {
        boolean completion = mRequest.work() instanceof Work.Completion;
        if (completion ? event.hasHead() || event.hasBody() : event.hasToken()) {
            mShared.metrics().eventDropped("unexpected");
            return;
        }
        switch (event.getEventCase()) {
            case FAILED -> {
                awaitStreamEnd();
                fail(WireFailures.read(event.getFailed()));
            }
            case FINISHED -> {
                mExecution = Execution.RAN;
                mTrace.finished(elapsedMillis());
                awaitStreamEnd();
                end(StatusCode.OK);
                mListener.event(this, event);
            }
            case ADMITTED -> {
                mTrace.admitted(event.getAdmitted());
                armStallTimer();
                mListener.event(this, event);
            }
            case TOKEN, HEAD, BODY -> {
                mExecution = Execution.RAN;
                mAnswered = true;
                armStallTimer();
                mListener.event(this, event);
            }
            default -> mShared.metrics().eventDropped("empty");
        }
    }

    private void awaitStreamEnd() {
        mLingerTimer =
                mShared.clock()
                        .schedule(LINGER, () -> mEventLoop.runOnContext(ignored -> mCall.cancel()));
    }

    private void streamEnded(GrpcStatus status) {
        mLingerTimer.cancel();
        if (!mEnded) {
            broken(new IllegalStateException("stream ended early with status " + status));
        }
    }

    private void connectionRefused(Throwable cause) {
        if (mEnded) {
            return;
        }
        mShared.router().connectionFailed(mAgent.name());
        fail(
                RequestFailure.notRun(
                                FailureCode.UNAVAILABLE,
                                "agent " + mAgent.name() + " cannot be reached")
                        .withCause(cause));
    }

    private void broken(Throwable cause) {
        if (mEnded) {
            return;
        }
        mShared.router().connectionFailed(mAgent.name());
        RequestFailure failure =
                RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        mExecution,
                        "the connection to agent " + mAgent.name() + " broke");
        fail(failure.withCause(cause));
        mCall.cancel();
    }

    private void stalled() {
        if (mEnded || mPaused) {
            return;
        }
        // An agent that answers other calls is alive; the attempt waits in its queue. The head of
        // the reply comes with the first event, so an attempt that waits has no stream yet.
        if (!mAnswered
                && mCall != null
                && mShared.activity().heardWithin(mAgent.name(), ACTIVITY_WINDOW)) {
            armStallTimer();
            return;
        }
        mShared.metrics().stalled();
        mShared.router().connectionFailed(mAgent.name());
        failAndCancel("agent " + mAgent.name() + " sent nothing for too long");
    }

    private void failAndCancel(String message) {
        fail(RequestFailure.of(FailureCode.UPSTREAM_FAILED, mExecution, message));
        closeCall();
    }

    /**
     * Asks the agent to end the call and resets it only when that takes too long. An HTTP/2
     * connection ends, with all its streams, after 200 resets of streams that still get frames
     * within 30 s, which callers who leave together would cause.
     */
    private void closeCall() {
        if (mCall == null) {
            return;
        }
        mShared.clients().cancel(mAgent.address(), mId);
        if (mStream != null) {
            mStream.resume();
        }
        awaitStreamEnd();
    }

    private void fail(RequestFailure failure) {
        mExecution = failure.execution();
        mTrace.failed(failure, elapsedMillis());
        end(StatusCode.ERROR);
        sLogger.atFine()
                .with(LogKeys.REQUEST_ID, mRequest.id().value())
                .with(LogKeys.ATTEMPT_ID, mId.value())
                .with(LogKeys.UPSTREAM, mAgent.name())
                .with(LogKeys.CODE, failure.code().wireName())
                .withCause(failure.getCause())
                .log("attempt failed: %s", failure.getMessage());
        mListener.failed(this, failure);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mShared.clock().nanoTime() - mStartNanos);
    }

    private void end(StatusCode status) {
        mEnded = true;
        mStallTimer.cancel();
        mShared.router().attemptEnded(mId);
        mSpan.setStatus(status);
        mSpan.end();
    }

    private void armStallTimer() {
        mStallTimer.cancel();
        if (mPaused) {
            return;
        }
        Duration timeout =
                mAnswered
                        ? StallTimeout.BASE
                        : StallTimeout.beforeAnswer(
                                mShared.router().hint(mAgent.name()), mRequest.work());
        mStallTimer =
                mShared.clock()
                        .schedule(timeout, () -> mEventLoop.runOnContext(ignored -> stalled()));
    }
}
