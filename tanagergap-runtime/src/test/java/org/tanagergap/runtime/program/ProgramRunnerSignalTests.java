package org.tanagergap.runtime.program;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the work of a program that is stopped before its start is complete. */
final class ProgramRunnerSignalTests {

    private static final long EXIT_SECONDS = 20;

    private Process mProcess;
    private BufferedReader mOutput;

    @AfterEach
    void close() throws Exception {
        mProcess.destroyForcibly().waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
    }

    private void start(String... options) throws Exception {
        ProcessBuilder builder = new ProcessBuilder();
        builder.command().add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        builder.command().addAll(List.of(options));
        builder.command().add("-cp");
        builder.command().add(System.getProperty("java.class.path"));
        builder.command().add(SlowStartCommand.class.getName());
        mProcess = builder.redirectErrorStream(true).start();
        mOutput = mProcess.inputReader();
        String line = mOutput.readLine();
        while (line != null && !line.equals(SlowStartCommand.STARTING)) {
            line = mOutput.readLine();
        }
    }

    private String remainingOutput() {
        return String.join("\n", mOutput.lines().toList());
    }

    /** The process ended at once, and with it the requests that it had accepted. */
    @Test
    void aProgramThatIsStillStartingStopsItsService() throws Exception {
        start();
        mProcess.toHandle().destroy();

        assertThat(remainingOutput()).contains(SlowStartCommand.STOPPED);
        assertThat(mProcess.waitFor()).isEqualTo(ExitStatus.OK);
    }

    @Test
    void aProgramThatCannotStartReportsIt() throws Exception {
        start("-D" + SlowStartCommand.FAILS + "=true");

        String output = remainingOutput();

        assertThat(output).contains("could not start");
        assertThat(output).doesNotContain(SlowStartCommand.STOPPED);
        assertThat(mProcess.waitFor()).isEqualTo(ExitStatus.FAILED);
    }

    /**
     * A process without event loops ended with the status of a success, or stayed and did nothing.
     */
    @Test
    void aProgramWhoseEventLoopsEndExitsWithAFailure() throws Exception {
        start("-D" + SlowStartCommand.LOOPS_END + "=true");

        assertThat(remainingOutput()).contains("an event loop ended");
        assertThat(mProcess.waitFor()).isEqualTo(ExitStatus.FAILED);
    }

    @Test
    void aProgramThatIsStoppedAndCannotStartReportsIt() throws Exception {
        start("-D" + SlowStartCommand.FAILS + "=true");
        mProcess.toHandle().destroy();

        assertThat(remainingOutput()).doesNotContain(SlowStartCommand.STOPPED);
        assertThat(mProcess.waitFor()).isEqualTo(ExitStatus.FAILED);
    }
}
