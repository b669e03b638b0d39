package org.tanagergap.decisions.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.memory.SharedMemoryLimit.Share;

/** Guards small messages against being given up for one that grows without end. */
final class SharedMemoryLimitTests {

    private static final long MAX_BYTES = 100;

    private final List<String> mEvicted = new ArrayList<>();
    private final SharedMemoryLimit mLimit = new SharedMemoryLimit(MAX_BYTES);

    private Share open(String name) {
        return mLimit.open(() -> mEvicted.add(name));
    }

    @Test
    void theLargestIncompleteMessageIsEvicted() {
        open("small").add(10);
        Share endless = open("endless");
        endless.add(60);

        open("next").add(31);
        endless.add(1);

        assertThat(mEvicted).containsExactly("endless");
        assertThat(mLimit.usedBytes()).isEqualTo(41);
    }

    @Test
    void completeMessagesAreNotEvicted() {
        Share complete = open("complete");
        complete.add(90);
        complete.completed();

        open("next").add(11);

        assertThat(mEvicted).containsExactly("next");
        assertThat(mLimit.usedBytes()).isEqualTo(90);
    }

    @Test
    void memoryIsFreeAfterTheEndOfAMessage() {
        Share first = open("first");
        first.add(90);
        first.completed();
        first.close();
        first.close();

        open("second").add(100);

        assertThat(mEvicted).isEmpty();
        assertThat(mLimit.usedBytes()).isEqualTo(100);
    }
}
