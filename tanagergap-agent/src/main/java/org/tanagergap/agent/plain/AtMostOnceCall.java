package org.tanagergap.agent.plain;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.smallrye.mutiny.subscription.Cancellable;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.protocol.v1.Header;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.log.LogKeys;
import org.tanagergap.state.intent.IntentDecision;
import org.tanagergap.state.intent.IntentKey;
import org.tanagergap.state.intent.IntentLog;
import org.tanagergap.state.intent.RecordedResponse;

/** Non-idempotent call, which is sent at most once and only after its intent was granted. */
final class AtMostOnceCall implements PlainCallExecution {

    /** Largest response body that is recorded for replay. */
    static final int MAX_RECORDED_BODY_BYTES = 16 * 1024;

    /** Longest time that a response is delayed until it is recorded. */
    static final Duration RECORD_TIMEOUT = Duration.ofSeconds(2);

    /** Time after the deadline during which a response is still awaited, to record the outcome. */
    static final Duration LATE_RESPONSE_TIMEOUT = Duration.ofSeconds(10);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final PlainUpstream mUpstream;
    private final IntentLog mIntents;
    private final RuntimeClock mClock;
    private final Executor mLoop;
    private final PlainCall mCall;
    private final IntentKey mKey;
    private final Deadline mDeadline;
    private final PlainCallListener mListener;
    private Cancellable mExchange = () -> {};
    private Timer mTimer = () -> {};
    private boolean mCancelled;
    private boolean mSent;
    private boolean mEnded;

    AtMostOnceCall(
            PlainUpstream upstream,
            IntentLog intents,
            RuntimeClock clock,
            Executor loop,
            PlainCall call,
            IntentKey key,
            Deadline deadline,
            PlainCallListener listener) {
        mUpstream = upstream;
        mIntents = intents;
        mClock = clock;
        mLoop = loop;
        mCall = call;
        mKey = key;
        mDeadline = deadline;
        mListener = listener;
    }

    @Override
    public void start() {
        String bodyHash =
                ProtocolMessages.sha256(
                        mCall.method().getBytes(StandardCharsets.UTF_8),
                        mCall.path().getBytes(StandardCharsets.UTF_8),
                        mCall.body().toByteArray());
        mIntents.begin(mKey, bodyHash, mCall.attemptId(), mDeadline.remaining(mClock))
                .whenComplete(
                        (decision, failure) ->
                                mLoop.execute(() -> intentDecided(decision, failure)));
    }

    @Override
    public void cancel() {
        mCancelled = true;
        if (!mSent) {
            end();
        }
    }

    private void intentDecided(IntentDecision decision, Throwable failure) {
        if (failure != null) {
            fail(PlainFailures.ofBegin(failure));
        } else if (decision instanceof IntentDecision.Granted) {
            granted();
        } else if (decision instanceof IntentDecision.Replay replay) {
            replay(replay.response());
        } else if (decision instanceof IntentDecision.InProgress) {
            fail(failure(FailureCode.IN_PROGRESS, "a call with this key is still running"));
        } else if (decision instanceof IntentDecision.OutcomeUnknown) {
            fail(
                    failure(
                            FailureCode.OUTCOME_UNKNOWN,
                            "an earlier call with this key was sent; its outcome is not known"));
        } else {
            fail(
                    RequestFailure.notRun(
                                    FailureCode.IDEMPOTENCY_CONFLICT,
                                    "this key was used with another body")
                            .withField("Idempotency-Key"));
        }
    }

    private void granted() {
        if (mCancelled || mDeadline.hasPassed(mClock)) {
            abandon();
            fail(
                    RequestFailure.notRun(
                            FailureCode.DEADLINE_EXCEEDED, "deadline passed before the send"));
            return;
        }
        mSent = true;
        mListener.sending();
        mTimer =
                mClock.schedule(
                        mDeadline.remaining(mClock).plus(LATE_RESPONSE_TIMEOUT),
                        () -> mLoop.execute(this::responseTimedOut));
        mExchange =
                mUpstream
                        .send(mCall)
                        .subscribe()
                        .with(
                                response -> mLoop.execute(() -> responseReceived(response)),
                                failure -> mLoop.execute(() -> sendFailed(failure)));
    }

    private void responseReceived(PlainServiceResponse response) {
        if (mEnded) {
            return;
        }
        mTimer.cancel();
        mTimer = mClock.schedule(recordTimeout(), () -> mLoop.execute(() -> deliver(response)));
        mIntents.recordOutcome(mKey, mCall.attemptId(), toRecord(response))
                .whenComplete(
                        (ignored, failure) ->
                                mLoop.execute(() -> outcomeRecorded(response, failure)));
    }

    /**
     * The timeout for the record, or half the time to the deadline if that is shorter, so that the
     * response can still be delivered in time.
     */
    private Duration recordTimeout() {
        Duration half = mDeadline.remaining(mClock).dividedBy(2);
        boolean shorter = !half.isNegative() && half.compareTo(RECORD_TIMEOUT) < 0;
        return shorter ? half : RECORD_TIMEOUT;
    }

    private void outcomeRecorded(PlainServiceResponse response, Throwable failure) {
        if (failure != null) {
            logWarning("failed to record the outcome of a non-idempotent call", failure);
        }
        deliver(response);
    }

    private void deliver(PlainServiceResponse response) {
        if (!mEnded) {
            mListener.responseReceived(response);
            end();
        }
    }

    private void sendFailed(Throwable failure) {
        if (mEnded) {
            return;
        }
        RequestFailure requestFailure = PlainFailures.ofSend(failure);
        if (requestFailure.execution() == Execution.NOT_RUN) {
            abandon();
        }
        fail(requestFailure);
    }

    private void responseTimedOut() {
        mExchange.cancel();
        fail(failure(FailureCode.OUTCOME_UNKNOWN, "plain service sent no answer in time"));
    }

    private void replay(RecordedResponse response) {
        if (mEnded) {
            return;
        }
        if (response.body().isEmpty()) {
            fail(
                    RequestFailure.of(
                            FailureCode.OUTCOME_UNKNOWN,
                            Execution.RAN,
                            "the call ran with status "
                                    + response.status()
                                    + "; its answer was too large to keep"));
            return;
        }
        List<Header> headers =
                response.contentType().isEmpty()
                        ? List.of()
                        : List.of(
                                Header.newBuilder()
                                        .setName("Content-Type")
                                        .setValue(response.contentType())
                                        .build());
        deliver(
                new PlainServiceResponse(
                        response.status(),
                        headers,
                        ByteString.copyFromUtf8(response.body().get()),
                        true));
    }

    private void abandon() {
        mIntents.abandon(mKey, mCall.attemptId())
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                logWarning(
                                        "failed to abandon the intent of a call that was not sent",
                                        failure);
                            }
                        });
    }

    private void fail(RequestFailure failure) {
        if (!mEnded) {
            mListener.failed(failure);
            end();
        }
    }

    private void end() {
        if (!mEnded) {
            mEnded = true;
            mTimer.cancel();
            mListener.ended();
        }
    }

    private void logWarning(String message, Throwable failure) {
        sLogger.atWarning()
                .withCause(Futures.rootFailure(failure))
                .with(LogKeys.ATTEMPT_ID, mCall.attemptId().value())
                .with(LogKeys.WORKSPACE, mKey.workspace())
                .log("%s", message);
    }

    private static RequestFailure failure(FailureCode code, String message) {
        return RequestFailure.of(code, Execution.UNKNOWN, message);
    }

    private static RecordedResponse toRecord(PlainServiceResponse response) {
        String contentType =
                response.headers().stream()
                        .filter(h -> h.getName().equalsIgnoreCase("Content-Type"))
                        .map(Header::getValue)
                        .findFirst()
                        .orElse("");
        boolean recordBody =
                response.body().size() <= MAX_RECORDED_BODY_BYTES && response.body().isValidUtf8();
        Optional<String> body =
                recordBody ? Optional.of(response.body().toStringUtf8()) : Optional.empty();
        return new RecordedResponse(response.status(), contentType, body);
    }
}
