package org.tanagergap.decisions.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards upstreams that have left against requests because of an entry in a restored store. */
final class DepartedUpstreamsTests {

    private final DepartedUpstreams mDeparted = new DepartedUpstreams();

    @Test
    void aDrainedIncarnationNeverReturns() {
        mDeparted.draining("u@1", 0);
        mDeparted.removed("u@1", 1);

        assertThat(mDeparted.mayReturn("u@1", true)).isFalse();
        assertThat(mDeparted.mayReturn("u@1", false)).isFalse();
        assertThat(mDeparted.mayReturn("u@2", true)).isTrue();
    }

    @Test
    void aRemovedIncarnationReturnsWithAWriteOfItsOwn() {
        mDeparted.removed("u@1", 0);

        assertThat(mDeparted.mayReturn("u@1", true)).isFalse();
        assertThat(mDeparted.mayReturn("u@1", false)).isTrue();
    }

    @Test
    void anIncarnationThatHasReturnedIsBelievedAfterARestore() {
        mDeparted.removed("u@1", 0);
        mDeparted.returned("u@1");

        assertThat(mDeparted.mayReturn("u@1", true)).isTrue();
    }

    /** Upstreams come and go for as long as an instance runs. */
    @Test
    void departuresAreForgotten() {
        mDeparted.removed("u@1", 0);
        mDeparted.removed("u@2", Duration.ofMinutes(11).toNanos());

        assertThat(mDeparted.mayReturn("u@1", true)).isTrue();
    }
}
