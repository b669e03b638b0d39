package org.tanagergap.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a log that grows with each read of the same malformed item. */
class MalformedItemLogTests {

    private final MalformedItemLog mLog = new MalformedItemLog("list");

    @Test
    void anItemIsLoggedOnceForEachReason() {
        assertThat(mLog.skipped("a", "port 70000")).isTrue();
        assertThat(mLog.skipped("a", "port 70000")).isFalse();
        assertThat(mLog.skipped("a", "port 0")).isTrue();
        assertThat(mLog.skipped("b", "port 0")).isTrue();
    }

    @Test
    void manyItemsWithLongTextsKeepTheMemoryBounded() {
        int logged = 0;
        for (int i = 0; i < 1_000; i++) {
            logged += mLog.skipped(i + "x".repeat(10_000), "y".repeat(10_000)) ? 1 : 0;
        }
        assertThat(logged).isEqualTo(256);
    }
}
