package org.tanagergap.decisions.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class HeadAdmissionTests {

    /** Half of the heap of a deployed gateway. */
    private static final long MEMORY = 48 << 20;

    private static final long LARGEST = HeadAdmission.cost(64 << 10, 15_500);
    private static final long USUAL = HeadAdmission.cost(700, 12);

    private final SharedMemoryLimit mLimit = new SharedMemoryLimit(MEMORY);
    private final HeadAdmission mHeads = new HeadAdmission(mLimit);

    private List<HeadAdmission.Charge> admitted(int heads, long cost) {
        List<HeadAdmission.Charge> admitted = new ArrayList<>();
        for (int i = 0; i < heads; i++) {
            HeadAdmission.Charge charge = mHeads.open();
            if (charge.raise(cost)) {
                admitted.add(charge);
            }
        }
        return admitted;
    }

    /** A hundred of them ended a gateway; one alone is within the limits. */
    @Test
    void someOfManyLargeHeadsAreAdmitted() {
        int admitted = admitted(100, LARGEST).size();

        assertThat(admitted).isAtLeast(1);
        assertThat(admitted * LARGEST).isAtMost(MEMORY / 4);
    }

    /** Large heads kept the memory for ordinary requests. */
    @Test
    void usualHeadsAreAdmittedBesideLargeOnes() {
        admitted(100, LARGEST);

        assertThat(admitted(1000, USUAL)).hasSize(1000);
    }

    @Test
    void largeHeadsUseOnlyWhatBodiesAndResponsesLeaveFree() {
        mLimit.open(() -> {}).add(MEMORY - USUAL);

        assertThat(admitted(1, LARGEST)).isEmpty();
        assertThat(admitted(1, USUAL)).hasSize(1);
    }

    /** A head that grows while it is read must be counted once. */
    @Test
    void releaseReturnsEverythingThatWasCharged() {
        HeadAdmission.Charge charge = mHeads.open();
        for (long cost = USUAL; cost < LARGEST; cost += USUAL) {
            assertThat(charge.raise(cost)).isTrue();
        }
        charge.release();
        charge.release();

        assertThat(mHeads.usedBytes()).isEqualTo(0);
        assertThat(mLimit.usedBytes()).isEqualTo(0);
        assertThat(admitted(100, LARGEST)).isNotEmpty();
    }

    @Test
    void aRefusedRaiseChangesNothing() {
        List<HeadAdmission.Charge> admitted = admitted(100, LARGEST);
        long used = mHeads.usedBytes();

        assertThat(mHeads.open().raise(LARGEST)).isFalse();
        assertThat(mHeads.usedBytes()).isEqualTo(used);

        admitted.get(0).release();
        assertThat(mHeads.open().raise(LARGEST)).isTrue();
    }
}
