package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
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
import org.tanagergap.decisions.stall.StallDecision;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.RunEvent;

/**
 * Executes the attempts of one request, from its acceptance to its end. An attempt that receives
 * nothing for a while stays open beside the next one; the first one that makes progress is kept.
 * Confined to one event loop.
 */
final class RequestRun implements AgentAttemptListener, SpanningPromptListener {

    /** Upstream in the log record of an attempt that failed while it reserved several upstreams. */
    private static final String SPANNING_PROMPT_UPSTREAM = "several";

    private final ExecutorContext mContext;
    private final CallerRequest mRequest;
    private final ResponseSink mSink;
    private final Context mEventLoop;
    private final Set<String> mExcluded = new HashSet<>();
    private final StringBuilder mGeneratedText = new StringBuilder();

    private final AgentChoice mChoice;
    private final OpenAttempts mOpen = new OpenAttempts();
    private final ReadingPause mReadingPause;

    /** Attempt whose upstream was last named to the caller. */
    private AgentAttempt mNamed;

    private AttemptId mAttemptId;
    private SpanningPromptSession mSpanningPrompt;
    private RequestFailure mLastFailure;
    private Execution mExecution = Execution.NOT_RUN;
    private int mAttempts;
    private long mNextIndex;
    private boolean mHeadSent;
    private boolean mEnded;
    private Timer mDeadlineTimer = () -> {};

    RequestRun(
            ExecutorContext context, CallerRequest request, ResponseSink sink, Context eventLoop) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mEventLoop = eventLoop;
        mChoice = new AgentChoice(context, request);
        mReadingPause = new ReadingPause(context.clock(), sink, mOpen);
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
        if (mEnded) {
            mContext.metrics().eventDropped(EventVerdict.LATE.label());
            return;
        }
        switch (event.getEventCase()) {
            case ADMITTED -> nameUpstream(attempt);
            case TOKEN -> {
                progressed(attempt);
                token(event.getToken().getText());
            }
            case HEAD -> {
                progressed(attempt);
                mHeadSent = true;
                mSink.head(event.getHead());
            }
            case BODY -> {
                mSink.body(Buffer.buffer(event.getBody().toByteArray()));
                mReadingPause.applyBackPressure();
            }
            case FINISHED -> {
                progressed(attempt);
                boolean singleRun = mSpanningPrompt == null && mAttempts == 1;
                end();
                mSink.finished(withTotalOutputTokens(event.getFinished()), singleRun);
            }
            default -> {}
        }
    }

    @Override
    public void failed(AgentAttempt attempt, RequestFailure failure) {
        if (mEnded) {
            return;
        }
        mOpen.ended(attempt);
        if (mSpanningPrompt == null) {
            // A spanning prompt may need every agent, so it excludes none.
            mExcluded.add(attempt.agent().name());
        }
        attemptFailed(failure);
    }

    @Override
    public StallDecision stalled(AgentAttempt attempt) {
        mOpen.stalled(attempt);
        if (mSpanningPrompt != null) {
            // Memory of other engines is reserved for it, and another attempt would need as much.
            attempt.giveUp();
            return StallDecision.NOT_REPEATABLE;
        }
        return startAnother();
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
        mExecution = OpenAttempts.strongest(mExecution, failure.execution());
        if (!mOpen.isEmpty()) {
            startAnother();
            return;
        }
        // The caller already has the head of the first response, which another cannot continue.
        if (mHeadSent || !mayRetry(failure)) {
            fail(failure);
            return;
        }
        countRetry();
        startAttempt();
    }

    /** Starts another attempt beside the open ones if nothing arrives on any of them. */
    private StallDecision startAnother() {
        if (!mOpen.allStalled()) {
            return StallDecision.ANOTHER_RUNS;
        }
        boolean idempotent = mRequest.payload().idempotent();
        boolean unsent = mOpen.execution() == Execution.NOT_RUN;
        if (mHeadSent
                || !mContext.retryPolicy()
                        .mayStartBeside(idempotent || unsent, mAttempts, mRequest.deadline())) {
            return StallDecision.NOT_REPEATABLE;
        }
        AttemptId id = mRequest.id().attempt(mAttempts + 1);
        Optional<AgentEndpoint> agent = mChoice.choose(id, mOpen.agentsAnd(mExcluded));
        if (agent.isEmpty()) {
            return StallDecision.NO_UPSTREAM;
        }
        if (!mContext.retryBudget().trySpend()) {
            mContext.router().attemptEnded(id);
            return StallDecision.NO_BUDGET;
        }
        if (!idempotent) {
            mOpen.cancel();
        }
        mAttempts++;
        mAttemptId = id;
        countRetry();
        startAttempt(agent.get(), mRequest, SpanningPromptReservation.NONE);
        return StallDecision.STARTED_ANOTHER;
    }

    private void countRetry() {
        mContext.metrics().retried();
        if (mNextIndex > 0) {
            mContext.metrics().resumed();
        }
    }

    private void progressed(AgentAttempt attempt) {
        mOpen.progressed(attempt);
        if (attempt != mNamed) {
            nameUpstream(attempt);
        }
    }

    private void nameUpstream(AgentAttempt attempt) {
        mNamed = attempt;
        attempt.admitted().ifPresent(mSink::admitted);
    }

    private void startAttempt() {
        mAttemptId = mRequest.id().attempt(++mAttempts);
        if (mRequest.payload() instanceof RequestPayload.Completion completion
                && mChoice.exceedsLargestEngine(completion)) {
            mSpanningPrompt =
                    new SpanningPromptSession(
                            mContext,
                            mEventLoop,
                            mRequest,
                            completion,
                            mAttemptId,
                            mReadingPause,
                            this);
            mSpanningPrompt.start();
            return;
        }
        Optional<AgentEndpoint> agent = mChoice.choose(mAttemptId, mExcluded);
        if (agent.isEmpty()) {
            fail(mLastFailure == null ? mChoice.noAgentFailure() : mLastFailure);
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
        AgentAttempt attempt =
                new AgentAttempt(
                        mContext,
                        mEventLoop,
                        request,
                        mAttemptId,
                        agent,
                        mNextIndex,
                        logRecord,
                        this);
        mOpen.started(attempt);
        attempt.start(new Resumption(mNextIndex, mGeneratedText.toString()), reservation);
        if (mReadingPause.isActive()) {
            attempt.pause();
        }
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

    private void token(String text) {
        mNextIndex++;
        mGeneratedText.append(text);
        mSink.token(text);
        mReadingPause.applyBackPressure();
    }

    private void deadlinePassed() {
        if (mEnded) {
            return;
        }
        if (mSpanningPrompt != null) {
            mExecution = OpenAttempts.strongest(mExecution, mSpanningPrompt.execution());
        }
        mExecution = OpenAttempts.strongest(mExecution, mOpen.execution());
        fail(
                RequestFailure.of(
                        FailureCode.DEADLINE_EXCEEDED, mExecution, "the deadline has passed"));
    }

    /** Counts the output tokens of all attempts, because an engine may count only its own. */
    private Finished withTotalOutputTokens(Finished finished) {
        return finished.toBuilder().setOutputTokens(mNextIndex).build();
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
        mOpen.cancel();
        closeSpanningPrompt();
    }
}
