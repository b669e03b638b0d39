package org.tanagergap.decisions.stall;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Open attempts of one request. Another attempt may start beside those that are silent, and the
 * first one that makes progress is kept. Silence by itself ends no attempt, because an upstream can
 * go on after a pause while the others fail. Not thread-safe.
 *
 * @param <A> attempt, compared by identity or by a unique value
 */
public final class AttemptRace<A> {

    private final Set<A> mOpen = new LinkedHashSet<>();
    private final Set<A> mStalled = new HashSet<>();

    /** Records that an attempt was started. */
    public void started(A attempt) {
        mOpen.add(Objects.requireNonNull(attempt, "attempt must not be null"));
    }

    /** Records that nothing has arrived on an open attempt for its idle timeout. */
    public void stalled(A attempt) {
        if (mOpen.contains(attempt)) {
            mStalled.add(attempt);
        }
    }

    /**
     * Records that a part of the response has arrived on an open attempt, which is kept.
     *
     * @return the other attempts, which are no longer open and have to be cancelled
     */
    public List<A> progressed(A attempt) {
        mStalled.remove(attempt);
        if (mOpen.size() == 1 && mOpen.contains(attempt)) {
            return List.of();
        }
        List<A> superseded = new ArrayList<>(mOpen);
        superseded.remove(attempt);
        superseded.forEach(this::ended);
        return superseded;
    }

    /** Records that an attempt has ended. */
    public void ended(A attempt) {
        mOpen.remove(attempt);
        mStalled.remove(attempt);
    }

    /** Open attempts in the order of their start. */
    public List<A> open() {
        return List.copyOf(mOpen);
    }

    /** Returns true if attempts are open and nothing arrives on any of them. */
    public boolean allStalled() {
        return !mOpen.isEmpty() && mStalled.containsAll(mOpen);
    }
}
