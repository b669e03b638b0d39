package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.tanagergap.api.request.AttemptId;

/**
 * Decides which work runs on one upstream: admission, queue, ranks, fair shares and memory.
 * Performs no I/O and is safe for use by several threads. An agent calls {@link
 * #takeDispatchable()} after every event that may free memory or add work.
 */
public interface UpstreamScheduler {

    /** Asks for admission of an item. */
    AdmissionDecision submit(WorkItem item);

    /** Takes the items that start now from the queue, with their memory reserved, in order. */
    List<WorkItem> takeDispatchable();

    /**
     * Takes queued items that can no longer be answered: their deadline has passed or comes before
     * the end of their prefill, or their memory exceeds a reduced capacity. They are refused as not
     * run.
     */
    List<WorkItem> takeExpired();

    /** Records that the engine sent the first token of an attempt, so that its prefill is over. */
    void prefillFinished(AttemptId attempt, long promptTokens);

    /**
     * Releases an attempt, queued or running; returns whether it was known. Called at least once.
     */
    boolean release(AttemptId attempt, long outputTokens);

    /** Compares reservations with the runs that the engine lists. */
    ReconcileResult reconcile(List<EngineRun> engineRuns);

    /**
     * Reserves memory for a segment of a prompt that spans several engines; a repeated call extends
     * the expiry. Returns false when the memory is not free.
     */
    boolean reserveSegment(String reservationId, long tokens, Duration expiresIn);

    /** Releases a hold; returns whether it was known. */
    boolean releaseSegment(String reservationId);

    /** Releases lapsed holds and returns their identifiers. */
    List<String> releaseExpiredSegments();

    /** Sets the engine's memory, in tokens. */
    void setCapacity(long memoryTokens);

    /** Memory that is neither reserved nor held, in tokens. */
    long freeTokens();

    /** Reserved and held memory, in tokens. */
    long reservedTokens();

    /** Prompt tokens that wait in the queue or are being prefilled. */
    PrefillBacklog prefillBacklog();

    /** Prompt tokens of all lengths that wait in the queue or are being prefilled. */
    default long prefillTokensQueued() {
        return prefillBacklog().total();
    }

    /** Learnt prefill rate, in tokens per second. */
    double prefillTokensPerSecond();

    /** Queued items by rank. */
    Map<String, RankLoad> queuedByRank();

    /** Attempts that run. */
    int running();
}
