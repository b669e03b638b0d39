package org.tanagergap.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagergap.testing.ProcessUsage;

/** Runs one program of the system in a separate process. */
final class ProgramProcess implements AutoCloseable {

    private static final Path LOG_DIRECTORY = Path.of("target", "process-logs");
    private static final long KILL_TIMEOUT_SECONDS = 20;

    private final Process mProcess;
    private final Path mLogFile;

    private ProgramProcess(Process process, Path logFile) {
        mProcess = process;
        mLogFile = logFile;
    }

    /** Starts a program; its output goes to a log file whose name starts with the given one. */
    static ProgramProcess start(String name, String mainClass, String... arguments) {
        return start(name, List.of(), List.of("-Xmx192m"), mainClass, arguments);
    }

    /** Starts a program with lowered limits. */
    static ProgramProcess startLimited(
            String name, ProcessLimits limits, String mainClass, String... arguments) {
        return start(name, limits.launcher(), limits.options(), mainClass, arguments);
    }

    private static ProgramProcess start(
            String name,
            List<String> launcher,
            List<String> options,
            String mainClass,
            String... arguments) {
        List<String> command = new ArrayList<>(launcher);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        // Many processes share the machine, so memory and start time matter more than throughput.
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", classPath(), mainClass));
        command.addAll(List.of(arguments));
        try {
            Files.createDirectories(LOG_DIRECTORY);
            Path logFile = Files.createTempFile(LOG_DIRECTORY, name + "-", ".log");
            Process process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(logFile.toFile())
                            .start();
            return new ProgramProcess(process, logFile);
        } catch (IOException e) {
            throw new UncheckedIOException("could not start " + name, e);
        }
    }

    /** Sends SIGTERM and returns the exit status, or empty if the process outlives the timeout. */
    Optional<Integer> terminate(long timeoutSeconds) throws InterruptedException {
        mProcess.destroy();
        return waitFor(timeoutSeconds);
    }

    /** Waits for the exit status; returns empty if the process outlives the timeout. */
    Optional<Integer> waitFor(long timeoutSeconds) throws InterruptedException {
        return mProcess.waitFor(timeoutSeconds, TimeUnit.SECONDS)
                ? Optional.of(mProcess.exitValue())
                : Optional.empty();
    }

    /** Sends SIGTERM without waiting. */
    void requestTermination() {
        mProcess.destroy();
    }

    /** Sends SIGKILL and waits until the process has ended. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends SIGSTOP. */
    void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Sends SIGCONT. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Returns what the program has written to standard output and error so far. */
    String output() throws IOException {
        return Files.readString(mLogFile);
    }

    ProcessUsage usage() {
        return new ProcessUsage(mProcess.pid());
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    @Override
    public void close() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    private static String classPath() {
        return Optional.ofNullable(System.getProperty("surefire.test.class.path"))
                .orElse(System.getProperty("java.class.path"));
    }
}
