package org.tanagergap.measure.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.tanagergap.decisions.fleet.EngineProfile;

/**
 * Model of one engine that works in passes: a pass decodes one event for each stream and prefills
 * prompts between the decode steps, so that a long prefill delays every stream on the engine. Times
 * are simulated milliseconds.
 */
final class EngineModel {

    /** Requests that an engine queues when its slots are taken. */
    private static final int QUEUE_LENGTH = 4;

    private final EngineProfile mProfile;
    private final int mChunkTokens;
    private final double mSpeed;
    private final List<EngineWork> mPrefills = new ArrayList<>();
    private final Deque<EngineWork> mQueued = new ArrayDeque<>();
    private final List<EngineWork> mDecodes = new ArrayList<>();
    private boolean mBusy;

    /**
     * Creates an idle engine.
     *
     * @param chunkTokens prompt tokens that it prefills in one step
     * @param speed share of its declared speed
     */
    EngineModel(EngineProfile profile, int chunkTokens, double speed) {
        mProfile = profile;
        mChunkTokens = chunkTokens;
        mSpeed = speed;
    }

    /** Returns false if all slots are taken and the queue is full. */
    boolean accepts() {
        return requests() < mProfile.slots() + QUEUE_LENGTH;
    }

    /** Returns whether a request that arrives now would wait for a slot. */
    boolean slotsTaken() {
        return usedSlots() >= mProfile.slots();
    }

    /** Number of requests that hold a slot or wait for one. */
    int requests() {
        return usedSlots() + mQueued.size();
    }

    private int usedSlots() {
        return (int) mPrefills.stream().filter(EngineWork::decodes).count() + mDecodes.size();
    }

    void add(EngineWork work) {
        if (work.decodes() && slotsTaken()) {
            mQueued.add(work);
        } else if (work.decodes()) {
            mPrefills.add(work);
        } else {
            // Parts of a split prompt are prefilled ahead of other prompts.
            mPrefills.add(0, work);
        }
    }

    boolean idle() {
        return !mBusy && mPrefills.isEmpty() && mDecodes.isEmpty();
    }

    boolean busy() {
        return mBusy;
    }

    /** Starts a pass and returns its duration in ms. */
    double startPass() {
        mBusy = true;
        double millis = 0;
        int steps = 1;
        if (!mDecodes.isEmpty()) {
            steps = mProfile.decodeStepsPerIteration();
            long context = mDecodes.stream().mapToLong(EngineWork::contextTokens).sum();
            millis += mProfile.iterationMillis(mDecodes.size(), context);
        }
        long budget = (long) steps * mChunkTokens;
        for (EngineWork work : mPrefills) {
            long tokens = Math.min(budget, work.prefillTokensLeft());
            budget -= tokens;
            millis += work.prefill(tokens);
        }
        return Math.max(0.1, millis / mSpeed);
    }

    /** Ends the pass: each stream has one more event, and complete prefills have their first. */
    void endPass(double nowMillis) {
        mBusy = false;
        for (EngineWork work : List.copyOf(mDecodes)) {
            if (work.emitEvent(nowMillis)) {
                mDecodes.remove(work);
            }
        }
        for (EngineWork work : List.copyOf(mPrefills)) {
            if (work.prefillTokensLeft() > 0) {
                continue;
            }
            mPrefills.remove(work);
            work.prefilled(nowMillis);
            if (work.decodes()) {
                mDecodes.add(work);
            }
        }
        while (!mQueued.isEmpty() && !slotsTaken()) {
            mPrefills.add(mQueued.remove());
        }
    }
}
