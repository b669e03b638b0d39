package org.tanagergap.decisions.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the exchange of crashes, tokens and quarantines between instances. */
final class QuarantineExchangeTests {

    private final QuarantineFixture mFixture = new QuarantineFixture();
    private final PromptQuarantine mOther = new PromptQuarantine(new QuarantineFixture());

    private void exchange() {
        mOther.accept(mFixture.mQuarantine.nextUpdate(mFixture.mNow), mFixture.mNow);
        mFixture.mQuarantine.accept(mOther.nextUpdate(mFixture.mNow), mFixture.mNow);
    }

    /** Guards against instances that each see too few crashes to decide. */
    @Test
    void crashesOfAllInstancesAreAddedUp() {
        mFixture.crash("e1", List.of("p1"));
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);
        mOther.engineCrashed("e2", "other-1", List.of("p1"), mFixture.mNow);
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);
        mOther.engineCrashed("e3", "other-2", List.of("p1"), mFixture.mNow);
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);

        assertThat(mFixture.quarantined("p1")).isPresent();
    }

    /** Guards against counting one crash for each instance and repetition that reports it. */
    @Test
    void aCrashSeenByTwoInstancesCountsOnce() {
        for (int i = 1; i <= 2; i++) {
            mFixture.crash("e" + i, List.of("p1"));
            mOther.engineCrashed("e" + i, "other-" + i, List.of("p1"), mFixture.mNow);
            exchange();
            mFixture.pass(QuarantineFixture.SECOND);
            exchange();
        }

        assertThat(mFixture.quarantined("p1")).isEmpty();
    }

    /** Guards against a quarantine that is lost with the instance that decided it. */
    @Test
    void aQuarantineReachesAnInstanceThatStartsLater() {
        mFixture.crashThreeTimes(List.of("p1"));
        exchange();
        PromptQuarantine late = new PromptQuarantine(new QuarantineFixture());

        late.accept(mOther.nextUpdate(mFixture.mNow), mFixture.mNow);

        assertThat(late.quarantinedPart(List.of("p1"), mFixture.mNow)).isPresent();
    }

    @Test
    void tokensSeenByAnotherInstanceClearAPart() {
        mFixture.crash("e1", List.of("p1"));
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);
        mFixture.crash("e2", List.of("p1"));
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);
        mOther.tokensGenerated(List.of("p1"), mFixture.mNow);
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);
        mFixture.crash("e3", List.of("p1"));
        mFixture.pass(QuarantineFixture.SECOND);

        assertThat(mFixture.quarantined("p1")).isEmpty();
    }

    /** Guards against a crash report that arrives after the tokens that clear it. */
    @Test
    void tokensGeneratedBeforeTheReportArrivesClearAPart() {
        mFixture.crash("e1", List.of("p1"));
        mFixture.pass(QuarantineFixture.SECOND);
        mFixture.crash("e2", List.of("p1"));
        mFixture.mNow += 10 * QuarantineFixture.MILLI;
        mOther.tokensGenerated(List.of("p1"), mFixture.mNow);
        exchange();
        mFixture.pass(QuarantineFixture.SECOND);
        mFixture.crash("e3", List.of("p1"));
        mFixture.pass(QuarantineFixture.SECOND);

        assertThat(mFixture.quarantined("p1")).isEmpty();
    }

    /** Guards against peers that prolong a quarantine for each other. */
    @Test
    void aQuarantineIsNotProlongedByReports() {
        mFixture.crashThreeTimes(List.of("p1"));
        for (int i = 0; i < 601; i++) {
            QuarantineUpdate delayed = mFixture.mQuarantine.nextUpdate(mFixture.mNow);
            mFixture.pass(QuarantineFixture.SECOND);
            mOther.accept(delayed, mFixture.mNow);
            mFixture.mQuarantine.accept(mOther.nextUpdate(mFixture.mNow), mFixture.mNow);
        }
        mFixture.pass(2 * QuarantineFixture.SECOND);

        assertThat(mFixture.quarantined("p1")).isEmpty();
        assertThat(mOther.quarantinedPart(List.of("p1"), mFixture.mNow)).isEmpty();
    }
}
