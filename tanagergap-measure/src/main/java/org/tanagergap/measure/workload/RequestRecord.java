package org.tanagergap.measure.workload;

import java.time.Duration;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.api.request.RequestCost;

/** The course of one request as observed by its caller. Times are on the run's clock. */
public final class RequestRecord {

    /** How a request ended. */
    public enum Outcome {
        PENDING,
        FINISHED,
        /** Refused without having run. */
        REFUSED,
        /** Ran until its deadline without finishing. */
        DEADLINE_EXCEEDED
    }

    private final RequestClass mRequestClass;
    private final RequestCost mCost;
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private int mAttempts;
    private final NavigableMap<Long, Long> mDoneTokensByNanos = new TreeMap<>();
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

    /** Counts an attempt and returns its number, starting at 1. */
    public int nextAttempt() {
        return ++mAttempts;
    }

    public void admitted() {
        mAdmitted = true;
    }

    /** Records the number of tokens that were prefilled and generated up to this time. */
    public void progressed(long nowNanos, long tokens) {
        mDoneTokensByNanos.put(nowNanos, tokens);
    }

    /**
     * Returns the tokens processed up to a time at which progress was recorded; 0 if none was
     * recorded at that time and the request had not ended.
     */
    public long workDoneBy(long nanos) {
        return mEndNanos >= 0 && mEndNanos <= nanos
                ? workTokens()
                : mDoneTokensByNanos.getOrDefault(nanos, 0L);
    }

    public boolean isAdmitted() {
        return mAdmitted;
    }

    /** Records a token and returns the nanoseconds since the previous one, or -1 for the first. */
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
            throw new IllegalStateException(
                    "request already ended with " + mOutcome + "; cannot end with " + outcome);
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

    /** Returns the prompt and output tokens of the request. */
    public long workTokens() {
        return mCost.promptTokens() + mRequestClass.outputTokens();
    }
}
