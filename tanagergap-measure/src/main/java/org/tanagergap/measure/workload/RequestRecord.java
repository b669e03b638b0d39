package org.tanagergap.measure.workload;

import java.time.Duration;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.api.request.RequestCost;

/** What happened to one request, as its caller saw it. Times are on the run's clock. */
public final class RequestRecord {

    /** End of a request. */
    public enum Outcome {
        PENDING,
        FINISHED,
        /** Refused and not run. */
        REFUSED,
        /** Ran until its deadline. */
        DEADLINE_EXCEEDED
    }

    private final RequestClass mRequestClass;
    private final RequestCost mCost;
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private int mAttempts;
    private boolean mAdmitted;
    private long mFirstTokenNanos = -1;
    private long mLastTokenNanos = -1;
    private long mEndNanos = -1;
    private Outcome mOutcome = Outcome.PENDING;

    public RequestRecord(RequestClass requestClass, RequestCost cost, long arrivalNanos) {
        mRequestClass = requestClass;
        mCost = cost;
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = arrivalNanos + requestClass.deadline().toNanos();
    }

    public RequestClass requestClass() {
        return mRequestClass;
    }

    public RequestCost cost() {
        return mCost;
    }

    public LengthBand lengthBand() {
        return LengthBand.of(mCost.promptTokens());
    }

    public long arrivalNanos() {
        return mArrivalNanos;
    }

    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    public int attempts() {
        return mAttempts;
    }

    /** Counts an attempt and returns its number, from 1. */
    public int nextAttempt() {
        return ++mAttempts;
    }

    public void admitted() {
        mAdmitted = true;
    }

    public boolean isAdmitted() {
        return mAdmitted;
    }

    /** Records a token and returns the time since the one before; negative for the first. */
    public long tokenReceived(long nowNanos) {
        if (mFirstTokenNanos < 0) {
            mFirstTokenNanos = nowNanos;
            mLastTokenNanos = nowNanos;
            return -1;
        }
        long gap = nowNanos - mLastTokenNanos;
        mLastTokenNanos = nowNanos;
        return gap;
    }

    public boolean hasFirstToken() {
        return mFirstTokenNanos >= 0;
    }

    public Duration timeToFirstToken() {
        return Duration.ofNanos(mFirstTokenNanos - mArrivalNanos);
    }

    public void ended(Outcome outcome, long nowNanos) {
        if (mOutcome != Outcome.PENDING) {
            throw new IllegalStateException("request ended twice: " + mOutcome + ", " + outcome);
        }
        mOutcome = outcome;
        mEndNanos = nowNanos;
    }

    public Outcome outcome() {
        return mOutcome;
    }

    public long endNanos() {
        return mEndNanos;
    }

    /** Work of the request in tokens. */
    public long workTokens() {
        return mCost.promptTokens() + mRequestClass.outputTokens();
    }
}
