package org.tanagergap.api.lock;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class OrderedLockTests {

    private final OrderedLock mQueue = new OrderedLock(LockRank.FAIR_QUEUE);
    private final OrderedLock mLedger = new OrderedLock(LockRank.MEMORY_LEDGER);

    @Test
    void allowsLocksInAscendingOrder() {
        assertThat(mQueue.<Integer>call(() -> mLedger.call(() -> 7))).isEqualTo(7);
    }

    @Test
    void refusesLocksInDescendingOrderNamingBoth() {
        IllegalStateException failure =
                assertThrows(
                        IllegalStateException.class, () -> mLedger.run(() -> mQueue.run(() -> {})));

        assertThat(failure).hasMessageThat().contains("FAIR_QUEUE");
        assertThat(failure).hasMessageThat().contains("MEMORY_LEDGER");
    }

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
