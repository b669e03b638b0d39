package org.tanagergap.decisions.replication;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.replication.ReadSchedule.Read;

/** Guards the configuration against waiting for everything else that changed in an outage. */
final class ReadScheduleTests {

    private final ReadSchedule mSchedule = new ReadSchedule();

    @BeforeEach
    void load() {
        mSchedule.succeeded(Read.CONTENTS);
    }

    private void fail() {
        mSchedule.failed(mSchedule.next());
    }

    private void succeed() {
        mSchedule.succeeded(mSchedule.next());
    }

    @Test
    void theFirstReadIsOfAllContentsAlsoAfterAFailure() {
        ReadSchedule starting = new ReadSchedule();
        assertThat(starting.next()).isEqualTo(Read.CONTENTS);

        starting.failed(Read.CONTENTS);

        assertThat(starting.next()).isEqualTo(Read.CONTENTS);
    }

    @Test
    void theConfigurationIsReadBeforeTheChangesOfAnOutage() {
        fail();
        fail();
        assertThat(mSchedule.next()).isEqualTo(Read.OPERATOR_KEYS);

        succeed();

        assertThat(mSchedule.next()).isEqualTo(Read.CHANGES);
        assertThat(mSchedule.behind()).isTrue();
        succeed();
        assertThat(mSchedule.behind()).isFalse();
    }

    @Test
    void changesThatCannotBeReadAreReplacedByTheContents() {
        fail();
        succeed();
        fail();
        assertThat(mSchedule.next()).isEqualTo(Read.OPERATOR_KEYS);
        succeed();
        assertThat(mSchedule.next()).isEqualTo(Read.CONTENTS);

        succeed();

        assertThat(mSchedule.next()).isEqualTo(Read.CHANGES);
        assertThat(mSchedule.behind()).isFalse();
    }

    @Test
    void aShortFailureDoesNotReplaceTheChangesByTheContents() {
        fail();
        succeed();
        succeed();
        fail();
        succeed();

        assertThat(mSchedule.next()).isEqualTo(Read.CHANGES);
    }
}
