package org.tanagergap.standins.engine;

import io.vertx.core.json.JsonObject;

/** Faults that a test switches on in a running stand-in engine. Confined to the event loop. */
final class EngineFaults {

    private boolean mSilent;
    private boolean mRefuse;
    private int mCutAfterTokens;
    private int mCrossed;
    private int mDuplicated;
    private int mSkipped;

    /** Replaces all switches; absent fields are switched off. */
    void replace(JsonObject json) {
        mSilent = json.getBoolean("silent", false);
        mRefuse = json.getBoolean("refuse", false);
        mCutAfterTokens = json.getInteger("cut_after_tokens", 0);
        mCrossed = json.getInteger("crossed", 0);
        mDuplicated = json.getInteger("duplicated", 0);
        mSkipped = json.getInteger("skipped", 0);
    }

    /** Whether events are withheld while runs go on. */
    boolean silent() {
        return mSilent;
    }

    /** Whether every request is refused. */
    boolean refuse() {
        return mRefuse;
    }

    /** Whether the connection breaks after the event with the given position in its stream. */
    boolean cutsAfter(long tokensSent) {
        return mCutAfterTokens > 0 && tokensSent >= mCutAfterTokens;
    }

    /** Whether the next event is preceded by one of another request. */
    boolean takeCrossed() {
        return mCrossed > 0 && mCrossed-- > 0;
    }

    /** Whether the next event is sent twice. */
    boolean takeDuplicated() {
        return mDuplicated > 0 && mDuplicated-- > 0;
    }

    /** Whether the next event is lost. */
    boolean takeSkipped() {
        return mSkipped > 0 && mSkipped-- > 0;
    }
}
