package org.tanagergap.decisions.stall;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards requests against losing an attempt whose upstream is only silent for a while. */
final class AttemptRaceTests {

    private final AttemptRace<String> mRace = new AttemptRace<>();

    @BeforeEach
    void start() {
        mRace.started("first");
    }

    @Test
    void aStalledAttemptStaysOpenBesideAnother() {
        mRace.stalled("first");
        mRace.started("second");

        assertThat(mRace.open()).containsExactly("first", "second").inOrder();
    }

    @Test
    void aStalledAttemptStaysOpenWhenTheOtherFails() {
        mRace.stalled("first");
        mRace.started("second");
        mRace.ended("second");

        assertThat(mRace.open()).containsExactly("first");
        assertThat(mRace.allStalled()).isTrue();
    }

    @Test
    void theFirstAttemptToMakeProgressSupersedesTheOthers() {
        mRace.stalled("first");
        mRace.started("second");

        assertThat(mRace.progressed("second")).containsExactly("first");
        assertThat(mRace.open()).containsExactly("second");
    }

    @Test
    void anAttemptThatGoesOnSupersedesTheOneStartedBesideIt() {
        mRace.stalled("first");
        mRace.started("second");

        assertThat(mRace.progressed("first")).containsExactly("second");
        assertThat(mRace.allStalled()).isFalse();
    }

    @Test
    void progressOfTheOnlyAttemptSupersedesNothing() {
        assertThat(mRace.progressed("first")).isEmpty();
    }

    @Test
    void anotherAttemptIsNeededOnlyWhileAllAreStalled() {
        assertThat(mRace.allStalled()).isFalse();
        mRace.stalled("first");
        assertThat(mRace.allStalled()).isTrue();

        mRace.started("second");
        assertThat(mRace.allStalled()).isFalse();
        mRace.stalled("second");
        assertThat(mRace.allStalled()).isTrue();
    }

    @Test
    void noAttemptIsNeededBesideNone() {
        mRace.ended("first");

        assertThat(mRace.allStalled()).isFalse();
        assertThat(mRace.open()).isEmpty();
    }

    @Test
    void aStallReportedAfterTheEndHasNoEffect() {
        mRace.ended("first");
        mRace.stalled("first");
        mRace.started("second");

        assertThat(mRace.allStalled()).isFalse();
    }
}
