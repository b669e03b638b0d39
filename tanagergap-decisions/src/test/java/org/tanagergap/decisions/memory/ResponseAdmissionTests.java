package org.tanagergap.decisions.memory;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the memory of a process against responses that are built faster than they are read. */
final class ResponseAdmissionTests {

    private static final long MEMORY = 1600;

    private final SharedMemoryLimit mLimit = new SharedMemoryLimit(MEMORY);
    private final ResponseAdmission mAdmission = new ResponseAdmission(mLimit);

    @Test
    void aSingleResponseMayUseAllMemory() {
        assertThat(mAdmission.admits(MEMORY / 2)).isTrue();
        assertThat(mAdmission.admits(MEMORY / 2 + 1)).isFalse();
    }

    @Test
    void responsesUseAtMostHalfOfTheMemory() {
        ResponseAdmission.Charge charge = mAdmission.charge(MEMORY / 8);

        assertThat(mAdmission.admits(MEMORY / 8)).isTrue();
        assertThat(mAdmission.admits(MEMORY / 8 + 1)).isFalse();
        charge.release();
        assertThat(mAdmission.admits(MEMORY / 8 + 1)).isTrue();
    }

    @Test
    void responsesFitBesideOtherMessages() {
        mLimit.open(() -> {}).add(MEMORY - MEMORY / 4);
        mAdmission.charge(MEMORY / 16);

        assertThat(mAdmission.admits(MEMORY / 16)).isTrue();
        assertThat(mAdmission.admits(MEMORY / 16 + 1)).isFalse();
    }

    @Test
    void aChargeIsReleasedOnce() {
        ResponseAdmission.Charge charge = mAdmission.charge(MEMORY / 8);
        charge.release();
        charge.release();

        assertThat(mAdmission.usedBytes()).isEqualTo(0);
        assertThat(mLimit.usedBytes()).isEqualTo(0);
    }
}
