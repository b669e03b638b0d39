package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards placements against the network delays of one deployment. */
final class DomainDelaysTests {

    private final DomainDelays mDelays = new DomainDelays("a");

    @Test
    void theOwnDomainIsNearestAtTheStart() {
        assertThat(mDelays.millis("a")).isLessThan(mDelays.millis("b"));
    }

    @Test
    void theLowestTimesShowTheNetwork() {
        mDelays.connected("b", 30);
        mDelays.connected("b", 8.8);
        mDelays.connected("b", 40);

        assertThat(mDelays.millis("b")).isWithin(0.5).of(4.4);
    }

    @Test
    void aLongerRouteIsLearned() {
        mDelays.connected("b", 2);
        for (int i = 0; i < 300; i++) {
            mDelays.connected("b", 10);
        }

        assertThat(mDelays.millis("b")).isWithin(0.2).of(5);
    }
}
