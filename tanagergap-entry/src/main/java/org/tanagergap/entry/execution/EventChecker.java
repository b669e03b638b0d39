package org.tanagergap.entry.execution;

import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.RunEvent;

/** Checks that the events of one attempt belong to it and that its tokens are consecutive. */
final class EventChecker {

    private final AttemptId mAttempt;
    private long mNextIndex;
    private boolean mEnded;

    EventChecker(AttemptId attempt, long firstIndex) {
        mAttempt = attempt;
        mNextIndex = firstIndex;
    }

    /** Classifies an event; an accepted token advances the expected index. */
    EventVerdict check(RunEvent event) {
        if (!event.getAttemptId().equals(mAttempt.value())) {
            return EventVerdict.CROSSED;
        }
        if (mEnded) {
            return EventVerdict.LATE;
        }
        switch (event.getEventCase()) {
            case TOKEN -> {
                long index = event.getToken().getIndex();
                if (index < mNextIndex) {
                    return EventVerdict.DUPLICATE;
                }
                if (index > mNextIndex) {
                    return EventVerdict.GAP;
                }
                mNextIndex++;
            }
            case FINISHED -> {
                // Only the engine's count reveals a lost last token; no later index follows.
                if (event.getFinished().getOutputTokens() > mNextIndex) {
                    return EventVerdict.GAP;
                }
                mEnded = true;
            }
            case FAILED -> mEnded = true;
            default -> {
                return EventVerdict.ACCEPT;
            }
        }
        return EventVerdict.ACCEPT;
    }

    /** Index of the next expected token. */
    long nextIndex() {
        return mNextIndex;
    }
}
