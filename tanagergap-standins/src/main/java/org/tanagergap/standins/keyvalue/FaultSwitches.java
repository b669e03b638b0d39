package org.tanagergap.standins.keyvalue;

import io.vertx.core.json.JsonObject;

/** Faults that the stand-in produces on request; not thread-safe. */
final class FaultSwitches {

    private boolean mOutage;
    private long mDelayMillis;
    private long mLoseReplies;
    private long mKeepReplies;

    /** Sets the faults that the object names; the others keep their values. */
    void update(JsonObject faults) {
        mOutage = faults.getBoolean("outage", mOutage);
        mDelayMillis = faults.getLong("delay_ms", mDelayMillis);
        mLoseReplies = faults.getLong("lose_replies", mLoseReplies);
        mKeepReplies = faults.getLong("keep_replies", mKeepReplies);
    }

    JsonObject toJson() {
        return new JsonObject()
                .put("outage", mOutage)
                .put("delay_ms", mDelayMillis)
                .put("lose_replies", mLoseReplies)
                .put("keep_replies", mKeepReplies);
    }

    boolean outage() {
        return mOutage;
    }

    long delayMillis() {
        return mDelayMillis;
    }

    /** Whether the reply to the write that was just applied is to be lost. */
    boolean takeLostReply() {
        if (mLoseReplies <= 0) {
            return false;
        }
        // Chooses which of the writes of one operation loses its reply.
        if (mKeepReplies > 0) {
            mKeepReplies--;
            return false;
        }
        mLoseReplies--;
        return true;
    }
}
