package org.tanagergap.decisions.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards the age of what a gateway knows, and the number of polls of one that relies on others. */
final class PollScheduleTests {

    @ParameterizedTest
    @CsvSource({
        // reader, progress of readers, last poll successful, requested, interval
        "true, true, true, false, 600",
        "true, false, true, false, 600",
        "true, true, false, false, 250",
        "false, true, true, false, 6000",
        "false, false, true, false, 1200",
        "false, true, false, false, 250",
        "false, false, false, false, 1200",
        "false, true, true, true, 250",
    })
    void aPollIsDueAfter(
            boolean reader, boolean progress, boolean successful, boolean requested, long millis) {
        PollSchedule schedule = new PollSchedule(new ReplicationTiming(Duration.ofSeconds(2)));
        PollSchedule.Situation situation =
                new PollSchedule.Situation(reader, progress, Duration.ofMillis(600));
        schedule.completed(successful, 0);
        if (requested) {
            schedule.requestPoll();
        }

        assertThat(schedule.untilDue(situation, 0)).isEqualTo(Duration.ofMillis(millis));
        assertThat(schedule.untilDue(situation, Duration.ofMillis(millis).toNanos()))
                .isEqualTo(Duration.ZERO);
        assertThat(schedule.untilDecision(situation, 0))
                .isAtMost(Duration.ofMillis(reader ? millis : 200));
    }
}
