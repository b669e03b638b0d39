package org.tanagergap.standins.orders;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Orders placed, counted by idempotency key. Never deduplicates, so that tests can detect repeated
 * calls.
 */
public final class OrderBook {

    private final Map<String, Integer> mCounts = new LinkedHashMap<>();
    private long mLastOrder;

    /** Places an order and returns its number. */
    public synchronized long place(String idempotencyKey) {
        mCounts.merge(idempotencyKey, 1, Integer::sum);
        return ++mLastOrder;
    }

    /** Number of orders placed with each key. */
    public synchronized Map<String, Integer> counts() {
        return new LinkedHashMap<>(mCounts);
    }
}
