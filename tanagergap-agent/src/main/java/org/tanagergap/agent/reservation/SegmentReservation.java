package org.tanagergap.agent.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.api.request.AttemptId;

/**
 * Memory reserved for a spanning prompt, which is spread over several engines. The protocol calls
 * it a hold.
 */
final class SegmentReservation {

    final String mId;
    final long mTokens;

    /** Handles of the segments computed in the reserved memory. */
    final List<String> mHandles = new ArrayList<>();

    /** Prefills in progress, each with the action that cancels it. */
    final Map<AttemptId, Runnable> mPrefills = new HashMap<>();

    /** All attempts sent to the engine for the reservation. */
    final List<AttemptId> mAttempts = new ArrayList<>();

    boolean mRunning;

    SegmentReservation(String id, long tokens) {
        mId = id;
        mTokens = tokens;
    }

    /** True while a completion or a prefill runs, which keeps the reservation from expiring. */
    boolean inUse() {
        return mRunning || !mPrefills.isEmpty();
    }
}
