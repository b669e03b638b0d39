package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RoutingRequest;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.RunEvent;

/** A request from its acceptance to its end. Confined to one event loop. */
final class RequestRun implements AttemptListener, SpanListener {

    /** Time after which a request that found no agent may be repeated. */
    private static final Duration NO_AGENT_RETRY_AFTER = Duration.ofMillis(500);

    /** Stands for the upstream of an attempt that failed while several were being reserved. */
    private static final String SPAN_UPSTREAM = "several";

    private final ExecutorContext mShared;
    private final CallerRequest mRequest;
    private final AnswerSink mSink;
    private final Context mEventLoop;
    private final Set<String> mExcluded = new HashSet<>();
    private final StringBuilder mText = new StringBuilder();

    private Attempt mCurrent;
    private AttemptId mAttemptId;
    private SpanSession mSpan;
    private RequestFailure mLastFailure;
    private Execution mExecution = Execution.NOT_RUN;
    private int mAttempts;
    private long mNextIndex;
    private boolean mHeadSent;
    private boolean mWaitingForDrain;
    private boolean mEnded;
    private Timer mDeadlineTimer = () -> {};

    RequestRun(ExecutorContext shared, CallerRequest request, AnswerSink sink, Context eventLoop) {
        mShared = shared;
        mRequest = request;
        mSink = sink;
        mEventLoop = eventLoop;
    }

    void start() {
        mDeadlineTimer =
                mShared.clock()
                        .schedule(
                                mRequest.deadline().remaining(mShared.clock()),
                                () -> mEventLoop.runOnContext(ignored -> deadlinePassed()));
        mShared.retryBudget().firstAttempt();
        startAttempt();
    }

    /** Cancels the request; the sink is not called any more. */
    void cancel() {
        mEventLoop.runOnContext(ignored -> end());
    }

    @Override
    public void event(Attempt attempt, RunEvent event) {
        if (mEnded || attempt != mCurrent) {
            mShared.metrics().eventDropped(EventVerdict.LATE.label());
            return;
        }
        switch (event.getEventCase()) {
            case ADMITTED -> mSink.admitted(event.getAdmitted());
            case TOKEN -> token(event.getToken().getText());
            case HEAD -> {
                mHeadSent = true;
                mSink.head(event.getHead());
            }
            case BODY -> {
                mSink.body(Buffer.buffer(event.getBody().toByteArray()));
                applyBackPressure();
            }
            case FINISHED -> {
                boolean whole = mSpan == null && mAttempts == 1;
                end();
                mSink.finished(counted(event.getFinished()), whole);
            }
            default -> {}
        }
    }

    @Override
    public void failed(Attempt attempt, RequestFailure failure) {
        if (mEnded || attempt != mCurrent) {
            return;
        }
        if (mSpan == null) {
            // A spanning prompt may need every agent, so it excludes none.
            mExcluded.add(attempt.agent().name());
        }
        attemptFailed(failure);
    }

    @Override
    public void placed(AgentEndpoint agent, Work.Completion last, SpanReservation reservation) {
        if (!mEnded) {
            startAttempt(agent, mRequest.withWork(last), reservation);
        }
    }

    @Override
    public void spanFailed(RequestFailure failure) {
        if (!mEnded) {
            AttemptTrace trace =
                    new AttemptTrace(mAttemptId, SPAN_UPSTREAM, "", OptionalDouble.empty());
            mSink.attemptStarted(trace);
            trace.failed(failure, mSpan == null ? 0 : mSpan.elapsedMillis());
            attemptFailed(failure);
        }
    }

    private void attemptFailed(RequestFailure failure) {
        closeSpan();
        mLastFailure = failure;
        if (failure.execution() != Execution.NOT_RUN && mExecution != Execution.RAN) {
            mExecution = failure.execution();
        }
        // The caller already has the head of the first answer, to which another cannot be joined.
        if (mHeadSent || !mayRetry(failure)) {
            fail(failure);
            return;
        }
        mShared.metrics().retried();
        if (mNextIndex > 0) {
            mShared.metrics().resumed();
        }
        startAttempt();
    }

    private void startAttempt() {
        mAttemptId = mRequest.id().attempt(++mAttempts);
        if (mRequest.work() instanceof Work.Completion completion && exceedsEngine(completion)) {
            mCurrent = null;
            mSpan = new SpanSession(mShared, mEventLoop, mRequest, completion, mAttemptId, this);
            mSpan.start();
            return;
        }
        Optional<AgentEndpoint> agent =
                mShared.router()
                        .choose(
                                new RoutingRequest(
                                        mAttemptId,
                                        mRequest.service(),
                                        mRequest.policy().rankPriority(),
                                        mRequest.work().cost(),
                                        mRequest.work().prefixHash(),
                                        mRequest.work().affinityKey(),
                                        mExcluded));
        if (agent.isEmpty()) {
            fail(noAgent());
            return;
        }
        startAttempt(agent.get(), mRequest, SpanReservation.NONE);
    }

    private void startAttempt(
            AgentEndpoint agent, CallerRequest request, SpanReservation reservation) {
        AttemptTrace trace =
                new AttemptTrace(
                        mAttemptId,
                        agent.name(),
                        agent.failureDomain(),
                        mShared.router().predictedSeconds(mAttemptId));
        mSink.attemptStarted(trace);
        mCurrent =
                new Attempt(
                        mShared, mEventLoop, request, mAttemptId, agent, mNextIndex, trace, this);
        mCurrent.start(new Resumption(mNextIndex, mText.toString()), reservation);
        if (mWaitingForDrain) {
            mCurrent.pause();
        }
    }

    private boolean exceedsEngine(Work.Completion completion) {
        long largest = mShared.router().largestMemoryTokens(mRequest.service());
        return largest > 0 && completion.cost().memoryTokens() > largest;
    }

    private void closeSpan() {
        if (mSpan != null) {
            mSpan.close();
            mSpan = null;
        }
    }

    private boolean mayRetry(RequestFailure failure) {
        return mShared.retryPolicy()
                .mayRetry(failure, mRequest.work().idempotent(), mAttempts, mRequest.deadline());
    }

    private RequestFailure noAgent() {
        if (mLastFailure != null) {
            return mLastFailure;
        }
        return RequestFailure.notRun(
                        FailureCode.UNAVAILABLE,
                        "service \"" + mRequest.service() + "\" has no reachable upstream")
                .withRetryAfter(NO_AGENT_RETRY_AFTER);
    }

    private void token(String text) {
        mNextIndex++;
        mText.append(text);
        mSink.token(text);
        applyBackPressure();
    }

    private void applyBackPressure() {
        if (mWaitingForDrain || !mSink.isFull()) {
            return;
        }
        mWaitingForDrain = true;
        mCurrent.pause();
        mSink.onDrain(
                () -> {
                    mWaitingForDrain = false;
                    if (mCurrent != null) {
                        mCurrent.resume();
                    }
                });
    }

    private void deadlinePassed() {
        if (mEnded) {
            return;
        }
        if (mExecution != Execution.RAN) {
            Execution current = currentExecution();
            mExecution = current == Execution.NOT_RUN ? mExecution : current;
        }
        fail(
                RequestFailure.of(
                        FailureCode.DEADLINE_EXCEEDED, mExecution, "the deadline has passed"));
    }

    /** The caller's count covers all attempts, while an engine may count only its own tokens. */
    private Finished counted(Finished finished) {
        return finished.toBuilder().setOutputTokens(mNextIndex).build();
    }

    private Execution currentExecution() {
        Execution span = mSpan == null ? Execution.NOT_RUN : mSpan.execution();
        Execution attempt = mCurrent == null ? Execution.NOT_RUN : mCurrent.execution();
        return attempt == Execution.NOT_RUN ? span : attempt;
    }

    private void fail(RequestFailure failure) {
        end();
        mSink.failed(WireFailures.withExecution(failure, mExecution));
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mDeadlineTimer.cancel();
        if (mCurrent != null) {
            mCurrent.cancel();
        }
        closeSpan();
    }
}
