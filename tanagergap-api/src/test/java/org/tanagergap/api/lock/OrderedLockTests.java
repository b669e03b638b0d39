package org.tanagergap.api.lock;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class OrderedLockTests {

    private final OrderedLock mQueue = new OrderedLock(LockRank.FAIR_QUEUE);
    private final OrderedLock mLedger = new OrderedLock(LockRank.MEMORY_LEDGER);

    /** Guards against refusing nested locks that are acquired in the permitted order. */
    @Test
    void allowsLocksInAscendingOrder() {
        assertThat(mQueue.<Integer>call(() -> mLedger.call(() -> 7))).isEqualTo(7);
    }

    /** Guards against two threads that deadlock by acquiring locks in opposite orders. */
    @Test
    void refusesLocksInDescendingOrderNamingBoth() {
        IllegalStateException failure =
                assertThrows(
                        IllegalStateException.class, () -> mLedger.run(() -> mQueue.run(() -> {})));

        assertThat(failure).hasMessageThat().contains("FAIR_QUEUE");
        assertThat(failure).hasMessageThat().contains("MEMORY_LEDGER");
    }

    /** Guards against a failed task whose lock blocks all later ones of its thread. */
    @Test
    void releasesItsLocksAfterAFailure() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        mLedger.run(
                                () -> {
                                    throw new IllegalArgumentException("task failed");
                                }));

        assertThat(mQueue.<Integer>call(() -> 1)).isEqualTo(1);
    }
}
