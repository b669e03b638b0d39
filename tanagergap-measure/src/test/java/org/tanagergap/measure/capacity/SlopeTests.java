package org.tanagergap.measure.capacity;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against fixed costs in a slope and against a slope from points of one size. */
class SlopeTests {

    private final Slope mSlope = new Slope("heap per key", "bytes");

    @Test
    void excludesTheFixedCost() {
        mSlope.add(10, 1_030);
        mSlope.add(20, 1_060);
        mSlope.add(40, 1_120);

        assertThat(mSlope.perUnit()).isWithin(1e-9).of(3);
    }

    @Test
    void rejectsPointsOfASingleSize() {
        mSlope.add(10, 1_030);

        assertThrows(IllegalStateException.class, mSlope::perUnit);
    }
}
