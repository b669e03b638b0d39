package org.tanagergap.decisions.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.quarantine.CrashConfirmation.Probe;
import org.tanagergap.decisions.quarantine.CrashConfirmation.Verdict;

/** Guards against taking an engine for crashed that is only silent for a while. */
final class CrashConfirmationTests {

    private static final long START_NANOS = -5;

    private final CrashConfirmation mConfirmation = new CrashConfirmation(START_NANOS);

    private Verdict probed(Probe probe, long millis) {
        return mConfirmation.probed(probe, START_NANOS + Duration.ofMillis(millis).toNanos());
    }

    @Test
    void anEngineThatRespondsAfterASilenceRuns() {
        assertThat(probed(Probe.SILENT, 500)).isEqualTo(Verdict.UNDECIDED);
        assertThat(probed(Probe.SILENT, 1250)).isEqualTo(Verdict.UNDECIDED);
        assertThat(probed(Probe.SILENT, 2000)).isEqualTo(Verdict.UNDECIDED);
        assertThat(probed(Probe.RUNNING, 2010)).isEqualTo(Verdict.RUNNING);
    }

    @Test
    void anEngineThatIsSilentForGoodIsFound() {
        long bound = CrashConfirmation.MAX_SILENCE.toMillis();

        assertThat(probed(Probe.SILENT, bound - 1)).isEqualTo(Verdict.UNDECIDED);
        assertThat(probed(Probe.SILENT, bound)).isEqualTo(Verdict.CRASHED);
    }

    @Test
    void anEngineThatIsGoneIsFoundAtOnceAlsoAfterASilence() {
        assertThat(probed(Probe.GONE, 1)).isEqualTo(Verdict.CRASHED);
        assertThat(probed(Probe.SILENT, 500)).isEqualTo(Verdict.UNDECIDED);
        assertThat(probed(Probe.GONE, 751)).isEqualTo(Verdict.CRASHED);
    }
}
