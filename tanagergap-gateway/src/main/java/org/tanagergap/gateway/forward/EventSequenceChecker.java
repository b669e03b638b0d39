package org.tanagergap.gateway.forward;

import java.util.OptionalLong;

/** Compares the identifiers of events with those that the caller has already. */
final class EventSequenceChecker {

    /** Place of an event in its stream. */
    enum Verdict {
        NEXT,
        /** The caller has the event already. */
        REPEATED,
        /** Events before it are missing. */
        AFTER_GAP
    }

    private OptionalLong mExpected;

    EventSequenceChecker(OptionalLong lastEventId) {
        mExpected = next(lastEventId);
    }

    /** Judges the next event; the first of a stream may have any identifier. */
    Verdict check(StreamEvent event) {
        if (event.id().isEmpty()) {
            return Verdict.NEXT;
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
