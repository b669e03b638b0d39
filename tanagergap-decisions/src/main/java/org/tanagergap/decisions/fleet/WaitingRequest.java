package org.tanagergap.decisions.fleet;

/**
 * Request that waits for an upstream.
 *
 * @param <T> what the caller of the queue attaches to it
 * @param item the attached item
 * @param rank rank of the request; 0 is the most urgent
 * @param sequence order of arrival
 * @param latestDispatchForTargetNanos monotonic time until which it must be sent to be answered on
 *     time
 * @param latestDispatchNanos monotonic time until which it must be sent to be answered at all
 */
public record WaitingRequest<T>(
        T item,
        int rank,
        long sequence,
        long latestDispatchForTargetNanos,
        long latestDispatchNanos) {}
