package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait for an upstream. Those that can still meet their target come first, by rank
 * and then by target; the others follow by rank and deadline. In order of arrival, every request of
 * a burst would be served just after it has missed its target. Confined to the event loop.
 */
public final class WaitingQueue<T> {

    private final List<WaitingRequest<T>> mRequests = new ArrayList<>();

    public void add(WaitingRequest<T> request) {
        mRequests.add(request);
    }

    /**
     * Removes a request.
     *
     * @return true if the request was waiting
     */
    public boolean remove(T item) {
        return mRequests.removeIf(r -> r.item().equals(item));
    }

    /** Returns the requests in the order in which they should be served. */
    public List<WaitingRequest<T>> inOrder(long nowNanos) {
        List<WaitingRequest<T>> ordered = new ArrayList<>(mRequests);
        ordered.sort(order(nowNanos));
        return ordered;
    }

    /** Returns the number of waiting requests that would be served before the given one. */
    public int requestsAhead(WaitingRequest<T> request, long nowNanos) {
        Comparator<WaitingRequest<T>> order = order(nowNanos);
        return (int) mRequests.stream().filter(r -> order.compare(r, request) < 0).count();
    }

    /** Returns the requests whose latest dispatch time has passed. */
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
        long targetSlack = request.latestDispatchForTargetNanos() - nowNanos;
        return targetSlack > 0 ? targetSlack : request.latestDispatchNanos() - nowNanos;
    }
}
