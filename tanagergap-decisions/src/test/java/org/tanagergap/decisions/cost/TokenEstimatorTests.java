package org.tanagergap.decisions.cost;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TokenEstimatorTests {

    private final TokenEstimator mEstimator = new TokenEstimator();

    /** Guards against the text of one model changing the estimates of another. */
    @Test
    void estimatesConvergeToTheTokenCountsOfTheEnginePerModel() {
        assertThat(mEstimator.promptTokens("m", 4_001)).isEqualTo(1_001);
        for (int i = 0; i < 100; i++) {
            mEstimator.observe("m", 5_000, 2_000);
        }
        assertThat(mEstimator.bytesPerToken("m")).isWithin(0.01).of(2.5);
        assertThat(mEstimator.bytesPerToken("other")).isEqualTo(4.0);
    }

    /** Guards against a faulty count that makes every later request look free or unlimited. */
    @Test
    void implausibleTokenCountsHaveABoundedEffect() {
        mEstimator.observe("m", 1_000_000, 1);
        assertThat(mEstimator.bytesPerToken("m")).isAtMost(7.0);
        mEstimator.observe("m", 0, 5);
        mEstimator.observe("m", 5, 0);
        assertThat(mEstimator.bytesPerToken("m")).isAtLeast(4.0);
    }
}
