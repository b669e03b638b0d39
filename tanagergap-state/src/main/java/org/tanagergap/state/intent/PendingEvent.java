package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Event that waits to be written, and its caller; used by one serial executor. */
final class PendingEvent {

    private final IntentEvent mEvent;
    private final int mSizeBytes;
    private final long mExpiryNanos;
    private final CompletableFuture<IntentDecision> mResult = new CompletableFuture<>();
    private Timer mTimer = () -> {};
    private boolean mInBatch;

    PendingEvent(IntentEvent event, long nowNanos, Duration timeout) {
        mEvent = event;
        mSizeBytes = IntentRecordJson.sizeBytes(event);
        mExpiryNanos = nowNanos + timeout.toNanos();
    }

    IntentEvent event() {
        return mEvent;
    }

    int sizeBytes() {
        return mSizeBytes;
    }

    /** Completes with the decision; outcomes and abandonments complete with {@code Granted}. */
    CompletableFuture<IntentDecision> result() {
        return mResult;
    }

    boolean inBatch() {
        return mInBatch;
    }

    void inBatch(boolean inBatch) {
        mInBatch = inBatch;
    }

    void startTimer(RuntimeClock clock, Runnable expire) {
        mTimer = clock.schedule(Duration.ofNanos(mExpiryNanos - clock.nanoTime()), expire);
    }

    /** Whether the caller's time is up, even when a pause has kept the timer from running. */
    boolean expired(RuntimeClock clock) {
        return mResult.isDone() || mExpiryNanos - clock.nanoTime() <= 0;
    }

    void complete(IntentDecision decision) {
        mTimer.cancel();
        mResult.complete(decision);
    }

    void fail(Throwable failure) {
        mTimer.cancel();
        mResult.completeExceptionally(failure);
    }

    void failUnconfirmed() {
        fail(unconfirmed());
    }

    /** Failure of an event whose record was not confirmed in time. */
    RequestFailure unconfirmed() {
        Execution execution =
                mEvent instanceof IntentEvent.Outcome ? Execution.RAN : Execution.NOT_RUN;
        return RequestFailure.of(
                FailureCode.UNAVAILABLE,
                execution,
                "the intent log could not confirm the record in time");
    }
}
