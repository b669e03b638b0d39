package org.tanagergap.standins.keyvalue;

import io.vertx.core.json.JsonObject;
import java.time.Duration;

/** Faults that a test switches on in the stand-in; not thread-safe. */
final class FaultSwitches {

    private boolean mOutage;
    private long mDelayMillis;
    private long mSilentUntilNanos = Long.MIN_VALUE;
    private long mRepliesToLose;
    private long mRepliesToKeep;
    private boolean mRepeatsRefusals;

    /** Sets the faults that the object contains; the others keep their values. */
    void update(JsonObject faults, long nowNanos) {
        mOutage = faults.getBoolean("outage", mOutage);
        mDelayMillis = faults.getLong("delay_ms", mDelayMillis);
        if (faults.containsKey("silence_ms")) {
            mSilentUntilNanos =
                    nowNanos + Duration.ofMillis(faults.getLong("silence_ms")).toNanos();
        }
        mRepliesToLose = faults.getLong("lose_replies", mRepliesToLose);
        mRepliesToKeep = faults.getLong("keep_replies", mRepliesToKeep);
        mRepeatsRefusals = faults.getBoolean("repeat_refusals", mRepeatsRefusals);
    }

    JsonObject toJson() {
        return new JsonObject()
                .put("outage", mOutage)
                .put("delay_ms", mDelayMillis)
                .put("lose_replies", mRepliesToLose)
                .put("keep_replies", mRepliesToKeep)
                .put("repeat_refusals", mRepeatsRefusals);
    }

    boolean outage() {
        return mOutage;
    }

    /** Returns the time after which a call is applied: a fixed delay, or the rest of a silence. */
    Duration delay(long nowNanos) {
        Duration delay = Duration.ofMillis(mDelayMillis);
        boolean silent = mSilentUntilNanos != Long.MIN_VALUE && mSilentUntilNanos > nowNanos;
        return silent ? delay.plusNanos(mSilentUntilNanos - nowNanos) : delay;
    }

    /** Returns true if calls are answered with an earlier refusal of their connection. */
    boolean repeatsRefusals() {
        return mRepeatsRefusals;
    }

    /** Returns true if the reply to the write that was just applied must not be sent. */
    boolean takeLostReply() {
        if (mRepliesToLose <= 0) {
            return false;
        }
        // Skips the first writes, so that a test can choose which write of an operation is hit.
        if (mRepliesToKeep > 0) {
            mRepliesToKeep--;
            return false;
        }
        mRepliesToLose--;
        return true;
    }
}
