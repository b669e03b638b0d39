package org.tanagergap.decisions.fleet;

/**
 * Request that waits for an upstream.
 *
 * @param <T> type of the item that the owner of the queue attaches
 * @param item attached item
 * @param rank rank of the request; 0 is the most urgent
 * @param sequence position in order of arrival
 * @param latestDispatchForTargetNanos latest monotonic time of a dispatch that meets the target
 * @param latestDispatchNanos latest monotonic time of a dispatch that can still be answered in time
 *     for the caller
 */
public record WaitingRequest<T>(
        T item,
        int rank,
        long sequence,
        long latestDispatchForTargetNanos,
        long latestDispatchNanos) {}
