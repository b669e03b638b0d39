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

/**
 * Executes the attempts of one request, from its acceptance to its end. Confined to one event loop.
 */
final class RequestRun implements AgentAttemptListener, SpanningPromptListener {

    /** Retry delay that is suggested to callers when no agent is reachable. */
    private static final Duration NO_AGENT_RETRY_AFTER = Duration.ofMillis(500);

    /** Upstream in the log record of an attempt that failed while it reserved several upstreams. */
    private static final String SPANNING_PROMPT_UPSTREAM = "several";

    private final ExecutorContext mContext;
    private final CallerRequest mRequest;
    private final ResponseSink mSink;
    private final Context mEventLoop;
    private final Set<String> mExcluded = new HashSet<>();
    private final StringBuilder mGeneratedText = new StringBuilder();

    private AgentAttempt mCurrent;
    private AttemptId mAttemptId;
    private SpanningPromptSession mSpanningPrompt;
    private RequestFailure mLastFailure;
    private Execution mExecution = Execution.NOT_RUN;
    private int mAttempts;
    private long mNextIndex;
    private boolean mHeadSent;
    private boolean mWaitingForDrain;
    private boolean mEnded;
    private Timer mDeadlineTimer = () -> {};

    RequestRun(
            ExecutorContext context, CallerRequest request, ResponseSink sink, Context eventLoop) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mEventLoop = eventLoop;
    }

    void start() {
        mDeadlineTimer =
                mContext.clock()
                        .schedule(
                                mRequest.deadline().remaining(mContext.clock()),
                                () -> mEventLoop.runOnContext(ignored -> deadlinePassed()));
        mContext.retryBudget().firstAttempt();
        startAttempt();
    }

    /** Cancels the request; the sink receives no further calls. */
    void cancel() {
        mEventLoop.runOnContext(ignored -> end());
    }

    @Override
    public void event(AgentAttempt attempt, RunEvent event) {
        if (mEnded || attempt != mCurrent) {
            mContext.metrics().eventDropped(EventVerdict.LATE.label());
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
                boolean singleRun = mSpanningPrompt == null && mAttempts == 1;
                end();
                mSink.finished(withTotalOutputTokens(event.getFinished()), singleRun);
            }
            default -> {}
        }
    }

    @Override
    public void failed(AgentAttempt attempt, RequestFailure failure) {
        if (mEnded || attempt != mCurrent) {
            return;
        }
        if (mSpanningPrompt == null) {
            // A spanning prompt may need every agent, so it excludes none.
            mExcluded.add(attempt.agent().name());
        }
        attemptFailed(failure);
    }

    @Override
    public void segmentsPrefilled(
            AgentEndpoint agent,
            RequestPayload.Completion lastSegment,
            SpanningPromptReservation reservation) {
        if (!mEnded) {
            startAttempt(agent, mRequest.withPayload(lastSegment), reservation);
        }
    }

    @Override
    public void spanningPromptFailed(RequestFailure failure) {
        if (!mEnded) {
            AttemptLogRecord logRecord =
                    new AttemptLogRecord(
                            mAttemptId, SPANNING_PROMPT_UPSTREAM, "", OptionalDouble.empty());
            mSink.attemptStarted(logRecord);
            logRecord.failed(
                    failure, mSpanningPrompt == null ? 0 : mSpanningPrompt.elapsedMillis());
            attemptFailed(failure);
        }
    }

    private void attemptFailed(RequestFailure failure) {
        closeSpanningPrompt();
        mLastFailure = failure;
        if (failure.execution() != Execution.NOT_RUN && mExecution != Execution.RAN) {
            mExecution = failure.execution();
        }
        // The caller already has the head of the first response, which another cannot continue.
        if (mHeadSent || !mayRetry(failure)) {
            fail(failure);
            return;
        }
        mContext.metrics().retried();
        if (mNextIndex > 0) {
            mContext.metrics().resumed();
        }
        startAttempt();
    }

    private void startAttempt() {
        mAttemptId = mRequest.id().attempt(++mAttempts);
        if (mRequest.payload() instanceof RequestPayload.Completion completion
                && exceedsLargestEngine(completion)) {
            mCurrent = null;
            mSpanningPrompt =
                    new SpanningPromptSession(
                            mContext, mEventLoop, mRequest, completion, mAttemptId, this);
            mSpanningPrompt.start();
            return;
        }
        Optional<AgentEndpoint> agent =
                mContext.router()
                        .choose(
                                new RoutingRequest(
                                        mAttemptId,
                                        mRequest.service(),
                                        mRequest.policy().rankPriority(),
                                        mRequest.payload().cost(),
                                        mRequest.payload().prefixHash(),
                                        mRequest.payload().affinityKey(),
                                        mExcluded));
        if (agent.isEmpty()) {
            fail(noAgentFailure());
            return;
        }
        startAttempt(agent.get(), mRequest, SpanningPromptReservation.NONE);
    }

    private void startAttempt(
            AgentEndpoint agent, CallerRequest request, SpanningPromptReservation reservation) {
        AttemptLogRecord logRecord =
                new AttemptLogRecord(
                        mAttemptId,
                        agent.name(),
                        agent.failureDomain(),
                        mContext.router().predictedSeconds(mAttemptId));
        mSink.attemptStarted(logRecord);
        mCurrent =
                new AgentAttempt(
                        mContext,
                        mEventLoop,
                        request,
                        mAttemptId,
                        agent,
                        mNextIndex,
                        logRecord,
                        this);
        mCurrent.start(new Resumption(mNextIndex, mGeneratedText.toString()), reservation);
        if (mWaitingForDrain) {
            mCurrent.pause();
        }
    }

    private boolean exceedsLargestEngine(RequestPayload.Completion completion) {
        long largest = mContext.router().largestMemoryTokens(mRequest.service());
        return largest > 0 && completion.cost().memoryTokens() > largest;
    }

    private void closeSpanningPrompt() {
        if (mSpanningPrompt != null) {
            mSpanningPrompt.close();
            mSpanningPrompt = null;
        }
    }

    private boolean mayRetry(RequestFailure failure) {
        return mContext.retryPolicy()
                .mayRetry(failure, mRequest.payload().idempotent(), mAttempts, mRequest.deadline());
    }

    private RequestFailure noAgentFailure() {
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
        mGeneratedText.append(text);
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

    /** Counts the output tokens of all attempts, because an engine may count only its own. */
    private Finished withTotalOutputTokens(Finished finished) {
        return finished.toBuilder().setOutputTokens(mNextIndex).build();
    }

    private Execution currentExecution() {
        Execution spanningPrompt =
                mSpanningPrompt == null ? Execution.NOT_RUN : mSpanningPrompt.execution();
        Execution attempt = mCurrent == null ? Execution.NOT_RUN : mCurrent.execution();
        return attempt == Execution.NOT_RUN ? spanningPrompt : attempt;
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
        closeSpanningPrompt();
    }
}
