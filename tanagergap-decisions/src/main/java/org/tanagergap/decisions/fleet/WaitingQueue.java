package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait for an upstream. Those that can still be on time come first, by rank and then
 * by the time at which they become late; the others follow by rank and deadline. Answers bursts: in
 * order of arrival, every request of a burst would be served just after it has become late.
 * Confined to the event loop.
 */
public final class WaitingQueue<T> {

    private final List<WaitingRequest<T>> mRequests = new ArrayList<>();

    /** Adds a request. */
    public void add(WaitingRequest<T> request) {
        mRequests.add(request);
    }

    /** Removes a request; returns whether it waited. */
    public boolean remove(T item) {
        return mRequests.removeIf(r -> r.item().equals(item));
    }

    /** Requests in the order in which they should be served. */
    public List<WaitingRequest<T>> inOrder(long nowNanos) {
        List<WaitingRequest<T>> ordered = new ArrayList<>(mRequests);
        ordered.sort(order(nowNanos));
        return ordered;
    }

    /** Number of waiting requests that would be served before the given one. */
    public int requestsAhead(WaitingRequest<T> request, long nowNanos) {
        Comparator<WaitingRequest<T>> order = order(nowNanos);
        return (int) mRequests.stream().filter(r -> order.compare(r, request) < 0).count();
    }

    /** Requests for which it is too late. */
    public List<WaitingRequest<T>> expired(long nowNanos) {
        return mRequests.stream().filter(r -> r.latestDispatchNanos() - nowNanos <= 0).toList();
    }

    public int size() {
        return mRequests.size();
    }

    private static <T> Comparator<WaitingRequest<T>> order(long nowNanos) {
        return Comparator.comparing(
                        (WaitingRequest<T> r) -> r.latestDispatchForTargetNanos() - nowNanos <= 0)
                .thenComparingInt(WaitingRequest::rank)
                .thenComparingLong(r -> dueNanos(r, nowNanos))
                .thenComparingLong(WaitingRequest::sequence);
    }

    private static long dueNanos(WaitingRequest<?> request, long nowNanos) {
        long aimLeft = request.latestDispatchForTargetNanos() - nowNanos;
        return aimLeft > 0 ? aimLeft : request.latestDispatchNanos() - nowNanos;
    }
}
