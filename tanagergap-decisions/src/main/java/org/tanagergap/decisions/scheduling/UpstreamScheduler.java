package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.tanagergap.api.request.AttemptId;

/**
 * Decides which work runs on one upstream: admission, queue, ranks, fair shares and memory.
 * Performs no I/O and is thread-safe. An agent calls {@link #takeDispatchable()} after every event
 * that may free memory or add work.
 */
public interface UpstreamScheduler {

    /** Submits an item for admission. */
    AdmissionDecision submit(WorkItem item);

    /** Removes the items that start now from the queue, in order, and reserves their memory. */
    List<WorkItem> takeDispatchable();

    /**
     * Removes queued items that can no longer meet their deadline: it has passed or comes before
     * the predicted end of their run, or their memory exceeds a reduced capacity. They are to be
     * refused as not run.
     */
    List<WorkItem> takeExpired();

    /**
     * Records that the engine sent the first token of an attempt, so that its prefill has finished.
     */
    void prefillFinished(AttemptId attempt, long promptTokens);

    /**
     * Records that no token of an attempt arrived for a time in which the engine was silent or the
     * caller did not read. The time does not count as time per output token.
     */
    default void outputPaused(AttemptId attempt, Duration pause) {}

    /**
     * Releases a queued or running attempt. May be called again for the same attempt.
     *
     * @return true if the attempt was queued or running
     */
    boolean release(AttemptId attempt, long outputTokens);

    /** Compares reservations with the runs that the engine lists. */
    ReconcileResult reconcile(List<EngineRun> engineRuns);

    /**
     * Reserves memory for a segment of a prompt that spans several engines; a repeated call extends
     * the expiry.
     *
     * @return false if the memory is not free
     */
    boolean reserveSegment(String segmentId, long tokens, Duration expiresIn);

    /**
     * Releases the memory of a segment.
     *
     * @return true if the segment had a reservation
     */
    boolean releaseSegment(String segmentId);

    /** Releases expired segment reservations and returns their identifiers. */
    List<String> releaseExpiredSegments();

    /** Sets the engine's memory, in tokens. */
    void setCapacity(long memoryTokens);

    /** Returns the memory without a reservation, in tokens. */
    long freeTokens();

    /** Returns the memory reserved for attempts and segments, in tokens. */
    long reservedTokens();

    /** Returns the prompt tokens that wait in the queue or are being prefilled, by length band. */
    PrefillBacklog prefillBacklog();

    /** Returns the prompt tokens of all lengths that wait in the queue or are being prefilled. */
    default long prefillTokensQueued() {
        return prefillBacklog().total();
    }

    /** Returns the learnt prefill rate, in tokens per second. */
    double prefillTokensPerSecond();

    /** Returns the queued items by rank. */
    Map<String, RankLoad> queuedByRank();

    /** Returns the number of running attempts. */
    int running();
}
