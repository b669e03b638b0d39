package org.tanagergap.agent.attempt;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.tanagergap.agent.engine.EngineCompletion;
import org.tanagergap.agent.engine.EngineEvent;
import org.tanagergap.agent.engine.ModelEngine;
import org.tanagergap.agent.engine.RemoteSegment;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Timer;
import org.tanagergap.protocol.v1.CompletionWork;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.Token;
import org.tanagergap.runtime.metrics.MetricName;

/** Attempt to run a completion on the model engine. */
public final class ModelAttempt extends Attempt {

    /**
     * Idle timeout of the engine's stream; the predicted prefill time extends it up to the first
     * token.
     */
    public static final Duration STALL_TIMEOUT = Duration.ofSeconds(10);

    /** Longer times between tokens are pauses; engines take less than 0.1 s per token. */
    private static final Duration MIN_OUTPUT_PAUSE = Duration.ofSeconds(1);

    /** Time that the engine has to confirm a cancellation before the memory is released anyway. */
    static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

    private final ModelEngine mEngine;
    private final ModelAttemptListener mListener;
    private final LongSupplier mPredictedPrefillMillis;
    private final int mPriority;
    private final String mTraceparent;
    private final CompletionWork mWork;
    private FlowControlledSubscriber mSubscriber;
    private Timer mStallTimer = () -> {};
    private Span mUpstreamSpan = Span.getInvalid();
    private long mStallDeadlineNanos;
    private long mNextIndex;
    private long mLastTokenNanos;
    private boolean mEngineResponded;
    private boolean mStreamEnded;

    public ModelAttempt(
            AttemptContext context,
            RunRequest request,
            EventSink sink,
            ModelEngine engine,
            ModelAttemptListener listener,
            LongSupplier predictedPrefillMillis,
            int priority) {
        super(context, request, sink);
        mEngine = engine;
        mListener = listener;
        mPredictedPrefillMillis = predictedPrefillMillis;
        mPriority = priority;
        mWork = request.getCompletion();
        mNextIndex = mWork.getResumeFrom();
        mTraceparent = context.tracing().traceparent(span());
    }

    @Override
    protected void sendUpstream() {
        sendAdmitted();
        mUpstreamSpan = mContext.tracing().startChild("engine.complete", SpanKind.CLIENT, span());
        mStallDeadlineNanos =
                mContext.clock().nanoTime()
                        + STALL_TIMEOUT.toNanos()
                        + Duration.ofMillis(mPredictedPrefillMillis.getAsLong()).toNanos();
        scheduleStallCheck();
        mSubscriber =
                new FlowControlledSubscriber(
                        mContext.loop(),
                        sink(),
                        this::eventReceived,
                        this::streamFailed,
                        this::streamEnded,
                        this::resetStallDeadline);
        mEngine.complete(completion()).subscribe().withSubscriber(mSubscriber);
    }

    @Override
    protected void stopUpstream() {
        reportPause();
        endUpstreamCall();
        if (mStreamEnded) {
            release(mNextIndex - mWork.getResumeFrom());
            return;
        }
        mStreamEnded = true;
        mSubscriber.cancel();
        // Keeps the memory reserved until the engine confirms, so that it is free for the next run.
        Timer timeout =
                mContext.clock()
                        .schedule(
                                CANCEL_TIMEOUT,
                                () -> mContext.loop().execute(this::releaseReservation));
        mEngine.cancel(id())
                .subscribe()
                .with(
                        ignored -> mContext.loop().execute(() -> cancelled(timeout)),
                        failure -> mContext.loop().execute(() -> cancelled(timeout)));
    }

    @Override
    protected Execution knownExecution() {
        return mEngineResponded ? Execution.RAN : Execution.UNKNOWN;
    }

    @Override
    public boolean isDispatchUnconfirmed() {
        return !mEngineResponded;
    }

    private void cancelled(Timer timeout) {
        timeout.cancel();
        releaseReservation();
    }

    private void releaseReservation() {
        release(mNextIndex - mWork.getResumeFrom());
    }

    private EngineCompletion completion() {
        return new EngineCompletion(
                id(),
                mWork.getModel(),
                mWork.getPrompt(),
                mWork.getCost().getMaxOutputTokens(),
                mPriority,
                ProtocolMessages.cacheSalt(mRequest.getPolicy().getWorkspace()),
                mWork.getResumeFrom(),
                mWork.getGeneratedText(),
                mWork.getSegmentsList().stream()
                        .map(s -> new RemoteSegment(s.getUrl(), s.getHandle()))
                        .toList(),
                mTraceparent);
    }

    private void eventReceived(EngineEvent event) {
        if (!isOpen()) {
            return;
        }
        if (!event.requestId().equals(id().value())) {
            countDropped("other_request");
            return;
        }
        if (event instanceof EngineEvent.Token token) {
            tokenReceived(token);
        } else if (event instanceof EngineEvent.Finish finish) {
            finishReceived(finish);
        }
    }

    private void tokenReceived(EngineEvent.Token token) {
        if (token.index() < mNextIndex) {
            countDropped("repeated_index");
            return;
        }
        if (token.index() > mNextIndex) {
            fail(
                    upstreamFailure(
                            Execution.RAN,
                            "engine sent token " + token.index() + " instead of " + mNextIndex));
            return;
        }
        if (!mEngineResponded) {
            mEngineResponded = true;
            mListener.firstToken(id(), mWork);
        } else {
            reportPause();
        }
        mLastTokenNanos = mContext.clock().nanoTime();
        mNextIndex++;
        resetStallDeadline();
        send(
                RunEvent.newBuilder()
                        .setToken(
                                Token.newBuilder().setIndex(token.index()).setText(token.text())));
    }

    private void finishReceived(EngineEvent.Finish finish) {
        mEngineResponded = true;
        long received = mNextIndex - mWork.getResumeFrom();
        // Engines count either all generated tokens or only those after resume_from.
        if (finish.completionTokens() != received && finish.completionTokens() != mNextIndex) {
            fail(
                    upstreamFailure(
                            Execution.RAN,
                            "engine counted "
                                    + finish.completionTokens()
                                    + " tokens but sent "
                                    + received));
            return;
        }
        reportPause();
        mStreamEnded = true;
        endUpstreamCall();
        mListener.finished(mWork, finish.promptTokens());
        finish(
                RunEvent.newBuilder()
                        .setFinished(
                                Finished.newBuilder()
                                        .setPromptTokens(finish.promptTokens())
                                        .setOutputTokens(received)
                                        .setCachedTokens(finish.cachedTokens())
                                        .setFinishReason(finish.finishReason())));
        release(received);
    }

    private void streamFailed(Throwable failure) {
        if (failure instanceof RequestFailure requestFailure && !mEngineResponded) {
            // A refused request uses no memory, so there is nothing to cancel.
            mStreamEnded = requestFailure.execution() == Execution.NOT_RUN;
            requestFailure.retryAfter().ifPresent(mListener::overloaded);
            fail(requestFailure);
        } else {
            fail(upstreamFailure(knownExecution(), "engine stream failed: " + failure));
        }
    }

    private void streamEnded() {
        fail(upstreamFailure(knownExecution(), "engine stream ended before its last event"));
    }

    private void reportPause() {
        Duration gap = Duration.ofNanos(mContext.clock().nanoTime() - mLastTokenNanos);
        if (mNextIndex > mWork.getResumeFrom() && gap.compareTo(MIN_OUTPUT_PAUSE) >= 0) {
            mListener.outputPaused(id(), gap);
        }
    }

    private void scheduleStallCheck() {
        Duration remaining = Duration.ofNanos(mStallDeadlineNanos - mContext.clock().nanoTime());
        if (remaining.isNegative() || remaining.isZero()) {
            fail(upstreamFailure(knownExecution(), "engine sent no token in time"));
            return;
        }
        mStallTimer =
                mContext.clock()
                        .schedule(remaining, () -> mContext.loop().execute(this::checkForStall));
    }

    private void checkForStall() {
        if (!isOpen()) {
            return;
        }
        // A paused stream cannot deliver tokens; a caller that reads nothing is bounded by its
        // deadline.
        if (mSubscriber.isPaused()) {
            resetStallDeadline();
        }
        scheduleStallCheck();
    }

    private void resetStallDeadline() {
        mStallDeadlineNanos = mContext.clock().nanoTime() + STALL_TIMEOUT.toNanos();
    }

    private void endUpstreamCall() {
        mStallTimer.cancel();
        mUpstreamSpan.end();
    }

    private void countDropped(String reason) {
        mContext.metrics()
                .counter(MetricName.of("agent_dropped_events_total", "reason", reason))
                .inc();
    }

    private static RequestFailure upstreamFailure(Execution execution, String message) {
        return RequestFailure.of(FailureCode.UPSTREAM_FAILED, execution, message);
    }
}
