package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Event waiting to be written, with the caller's future; confined to a serial executor. */
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

    /** Future of the decision; outcomes and abandonments complete with {@code Granted}. */
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

    /** Returns true after the timeout, even if a process pause has delayed the timer. */
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

    /** Creates the failure of an event whose record was not confirmed in time. */
    RequestFailure unconfirmed() {
        Execution execution =
                mEvent instanceof IntentEvent.Outcome ? Execution.RAN : Execution.NOT_RUN;
        return RequestFailure.of(
                FailureCode.UNAVAILABLE,
                execution,
                "the intent log could not confirm the record in time");
    }
}
