package org.tanagergap.agent.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.api.request.AttemptId;

/** Reservation of memory for a prompt that spans several engines. */
final class SegmentReservation {

    final String mId;
    final long mTokens;

    /** Segments computed under the hold, with the attempt that computed each. */
    final List<String> mHandles = new ArrayList<>();

    /** Prefills in progress, with what cancels them. */
    final Map<AttemptId, Runnable> mPrefills = new HashMap<>();

    /** Every attempt sent to the engine under the hold. */
    final List<AttemptId> mAttempts = new ArrayList<>();

    boolean mRunning;

    SegmentReservation(String id, long tokens) {
        mId = id;
        mTokens = tokens;
    }

    /** Whether work under the hold keeps it alive. */
    boolean inUse() {
        return mRunning || !mPrefills.isEmpty();
    }
}
