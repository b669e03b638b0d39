package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RoutingRequest;
import org.tanagergap.protocol.v1.RunEvent;

/** A request from its acceptance to its end. Confined to one event loop. */
final class RequestRun implements AttemptListener {

    /** Time after which a request that found no agent may be repeated. */
    private static final Duration NO_AGENT_RETRY_AFTER = Duration.ofMillis(500);

    private final ExecutorContext mShared;
    private final CallerRequest mRequest;
    private final AnswerSink mSink;
    private final Context mEventLoop;
    private final Set<String> mExcluded = new HashSet<>();
    private final StringBuilder mText = new StringBuilder();

    private Attempt mCurrent;
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
                                mRequest.deadline().left(mShared.clock()),
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
                end();
                mSink.finished(event.getFinished());
            }
            default -> {}
        }
    }

    @Override
    public void failed(Attempt attempt, RequestFailure failure) {
        if (mEnded || attempt != mCurrent) {
            return;
        }
        mExcluded.add(attempt.agent().name());
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
        AttemptId id = mRequest.id().attempt(++mAttempts);
        Optional<AgentEndpoint> agent =
                mShared.router()
                        .choose(
                                new RoutingRequest(
                                        id,
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
        mCurrent = new Attempt(mShared, mEventLoop, mRequest, id, agent.get(), mNextIndex, this);
        mCurrent.start(new Resumption(mNextIndex, mText.toString()), SpanReservation.NONE);
        if (mWaitingForDrain) {
            mCurrent.pause();
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
                    mCurrent.resume();
                });
    }

    private void deadlinePassed() {
        if (mEnded) {
            return;
        }
        if (mCurrent != null && mExecution != Execution.RAN) {
            Execution current = mCurrent.execution();
            mExecution = current == Execution.NOT_RUN ? mExecution : current;
        }
        fail(
                RequestFailure.of(
                        FailureCode.DEADLINE_EXCEEDED, mExecution, "the deadline has passed"));
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
    }
}
