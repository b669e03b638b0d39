package org.tanagergap.gateway.forward;

import java.util.OptionalLong;

/** Detects repeated and missing events of a resumed stream by their identifiers. */
final class EventSequenceChecker {

    /** Position of an event relative to the last one that the caller has received. */
    enum Verdict {
        NEXT,
        /** The caller has already received the event. */
        REPEATED,
        /** Events before it are missing. */
        AFTER_GAP,
        /** It has no identifier, so its place in the resumed stream is unknown. */
        UNIDENTIFIED
    }

    private final boolean mResumed;
    private OptionalLong mExpected;

    /**
     * Creates a checker for one run.
     *
     * @param lastEventId identifier of the last event that the caller has received
     * @param resumed whether earlier events of the same response came from another run
     */
    EventSequenceChecker(OptionalLong lastEventId, boolean resumed) {
        mExpected = next(lastEventId);
        mResumed = resumed;
    }

    /** Classifies the next event; the first one of a stream may have any identifier. */
    Verdict check(StreamEvent event) {
        if (event.id().isEmpty()) {
            return mResumed ? Verdict.UNIDENTIFIED : Verdict.NEXT;
        }
        long id = event.id().getAsLong();
        if (mExpected.isPresent() && id != mExpected.getAsLong()) {
            return id < mExpected.getAsLong() ? Verdict.REPEATED : Verdict.AFTER_GAP;
        }
        mExpected = OptionalLong.of(id + 1);
        return Verdict.NEXT;
    }

    private static OptionalLong next(OptionalLong id) {
        return id.isPresent() ? OptionalLong.of(id.getAsLong() + 1) : id;
    }
}
