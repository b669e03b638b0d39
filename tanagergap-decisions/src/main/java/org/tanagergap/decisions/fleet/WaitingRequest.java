package org.tanagergap.decisions.fleet;

/**
 * Request that waits for an upstream.
 *
 * @param <T> what the caller of the queue attaches to it
 * @param item the attached item
 * @param rank rank of the request; 0 is the most urgent
 * @param sequence order of arrival
 * @param aimNanos monotonic time after which the answer is late
 * @param deadlineNanos monotonic time after which the answer is useless
 */
public record WaitingRequest<T>(
        T item, int rank, long sequence, long aimNanos, long deadlineNanos) {}
