package org.tanagergap.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One program of the system as a process of its own. */
final class ProgramProcess implements AutoCloseable {

    private static final Path LOG_DIRECTORY = Path.of("target", "process-logs");
    private static final long KILL_TIMEOUT_SECONDS = 20;

    private final Process mProcess;
    private final Path mLogFile;

    private ProgramProcess(Process process, Path logFile) {
        mProcess = process;
        mLogFile = logFile;
    }

    /** Starts a program; its output goes to a file of the given name. */
    static ProgramProcess start(String name, String mainClass, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        // Many processes share the machine: a small heap and quick start matter more than speed.
        command.addAll(List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
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

    /** Sends SIGTERM and returns the exit status; empty when the process did not end in time. */
    Optional<Integer> terminate(long timeoutSeconds) throws InterruptedException {
        mProcess.destroy();
        return waitFor(timeoutSeconds);
    }

    /** Exit status once the process has ended; empty when it did not end in time. */
    Optional<Integer> waitFor(long timeoutSeconds) throws InterruptedException {
        return mProcess.waitFor(timeoutSeconds, TimeUnit.SECONDS)
                ? Optional.of(mProcess.exitValue())
                : Optional.empty();
    }

    /** Sends SIGTERM without waiting. */
    void requestTermination() {
        mProcess.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
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

    /** Output so far. */
    String output() throws IOException {
        return Files.readString(mLogFile);
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
