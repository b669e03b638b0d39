package org.tanagergap.standins.keyvalue;

import io.vertx.core.json.JsonObject;

/** Faults that the stand-in produces on request; not thread-safe. */
final class FaultSwitches {

    private boolean mOutage;
    private long mDelayMillis;
    private long mRepliesToLose;
    private long mRepliesToKeep;

    /** Sets the faults that the object names; the others keep their values. */
    void update(JsonObject faults) {
        mOutage = faults.getBoolean("outage", mOutage);
        mDelayMillis = faults.getLong("delay_ms", mDelayMillis);
        mRepliesToLose = faults.getLong("lose_replies", mRepliesToLose);
        mRepliesToKeep = faults.getLong("keep_replies", mRepliesToKeep);
    }

    JsonObject toJson() {
        return new JsonObject()
                .put("outage", mOutage)
                .put("delay_ms", mDelayMillis)
                .put("lose_replies", mRepliesToLose)
                .put("keep_replies", mRepliesToKeep);
    }

    boolean outage() {
        return mOutage;
    }

    long delayMillis() {
        return mDelayMillis;
    }

    /** Whether the reply to the write that was just applied is to be lost. */
    boolean takeLostReply() {
        if (mRepliesToLose <= 0) {
            return false;
        }
        // Chooses which of the writes of one operation loses its reply.
        if (mRepliesToKeep > 0) {
            mRepliesToKeep--;
            return false;
        }
        mRepliesToLose--;
        return true;
    }
}
