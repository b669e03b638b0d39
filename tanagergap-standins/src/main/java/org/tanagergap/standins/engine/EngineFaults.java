package org.tanagergap.standins.engine;

import io.vertx.core.json.JsonObject;

/** Faults that a test switches on in a running stand-in engine. Confined to the event loop. */
final class EngineFaults {

    private boolean mWithholdsEvents;
    private boolean mRefusesRequests;
    private int mCutAfterTokens;
    private int mCrossedEvents;
    private int mDuplicatedEvents;
    private int mSkippedEvents;

    /** Replaces all switches; absent fields are switched off. */
    void replace(JsonObject json) {
        mWithholdsEvents = json.getBoolean("silent", false);
        mRefusesRequests = json.getBoolean("refuse", false);
        mCutAfterTokens = json.getInteger("cut_after_tokens", 0);
        mCrossedEvents = json.getInteger("crossed", 0);
        mDuplicatedEvents = json.getInteger("duplicated", 0);
        mSkippedEvents = json.getInteger("skipped", 0);
    }

    /** Whether events are withheld while runs go on. */
    boolean withholdsEvents() {
        return mWithholdsEvents;
    }

    /** Whether every request is refused. */
    boolean refusesRequests() {
        return mRefusesRequests;
    }

    /** Whether the connection breaks after the event with the given position in its stream. */
    boolean cutsAfter(long tokensSent) {
        return mCutAfterTokens > 0 && tokensSent >= mCutAfterTokens;
    }

    /** Whether the next event is preceded by one of another request. */
    boolean takeCrossedEvent() {
        return mCrossedEvents > 0 && mCrossedEvents-- > 0;
    }

    /** Whether the next event is sent twice. */
    boolean takeDuplicatedEvent() {
        return mDuplicatedEvents > 0 && mDuplicatedEvents-- > 0;
    }

    /** Whether the next event is lost. */
    boolean takeSkippedEvent() {
        return mSkippedEvents > 0 && mSkippedEvents-- > 0;
    }
}
