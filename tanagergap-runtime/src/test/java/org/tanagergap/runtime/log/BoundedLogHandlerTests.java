package org.tanagergap.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that block because nobody reads the log output. */
final class BoundedLogHandlerTests {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final int MAX_LINES_PER_SECOND = 1000;
    private static final int MAX_QUEUED_LINES = 4096;

    private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

    /** Output on which writes block until it is released. */
    private final class BlockingOutput extends OutputStream {

        private final CountDownLatch mBlocked = new CountDownLatch(1);
        private final CountDownLatch mUnblocked = new CountDownLatch(1);

        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            mBlocked.countDown();
            try {
                mUnblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            mWritten.write(bytes, offset, length);
        }
    }

    private static BoundedLogHandler handler(OutputStream output) {
        BoundedLogHandler handler = new BoundedLogHandler(output);
        handler.setFormatter(
                new Formatter() {
                    @Override
                    public String format(LogRecord logRecord) {
                        return logRecord.getMessage() + "\n";
                    }
                });
        return handler;
    }

    private static LogRecord line(String message, Duration sinceStart) {
        LogRecord logRecord = new LogRecord(Level.INFO, message);
        logRecord.setInstant(START.plus(sinceStart));
        return logRecord;
    }

    private long linesWritten(String prefix) {
        return mWritten.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(prefix))
                .count();
    }

    @Test
    void writesLinesInOrder() {
        BoundedLogHandler handler = handler(mWritten);
        handler.publish(line("first", Duration.ZERO));
        handler.publish(line("second", Duration.ZERO));
        handler.close();

        assertThat(mWritten.toString(StandardCharsets.UTF_8)).isEqualTo("first\nsecond\n");
    }

    @Test
    void limitsTheLinesOfASecondAndReportsTheNumberDropped() {
        BoundedLogHandler handler = handler(mWritten);
        for (int i = 0; i < MAX_LINES_PER_SECOND + 500; i++) {
            handler.publish(line("line", Duration.ZERO));
        }
        handler.close();

        assertThat(linesWritten("line")).isEqualTo(MAX_LINES_PER_SECOND);
        long dropped =
                mWritten.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.endsWith(" log lines were dropped"))
                        .mapToLong(line -> Long.parseLong(line.split(" ")[0]))
                        .sum();
        assertThat(dropped).isEqualTo(500);
    }

    @Nested
    class ABlockedOutput {

        private final BlockingOutput mOutput = new BlockingOutput();
        private final BoundedLogHandler mHandler = handler(mOutput);

        private void publishFor(Duration duration) {
            for (long i = 0; i < duration.toSeconds() * MAX_LINES_PER_SECOND; i++) {
                mHandler.publish(line("line", Duration.ofMillis(i)));
            }
        }

        /** A write on the calling thread would block here forever. */
        @Test
        void doesNotBlockCallersAndQueuesABoundedNumberOfLines() throws Exception {
            mHandler.publish(line("line", Duration.ZERO));
            mOutput.mBlocked.await();
            publishFor(Duration.ofSeconds(60));

            mOutput.mUnblocked.countDown();
            mHandler.close();
            assertThat(linesWritten("line")).isAtMost(MAX_QUEUED_LINES + 1L);
            assertThat(linesWritten(60_000 - MAX_QUEUED_LINES + " log lines were dropped"))
                    .isEqualTo(1);
        }

        @Test
        void doesNotDelayTheEndOfTheProcess() throws Exception {
            mHandler.publish(line("line", Duration.ZERO));
            mOutput.mBlocked.await();

            long start = System.nanoTime();
            mHandler.close();
            assertThat(Duration.ofNanos(System.nanoTime() - start))
                    .isLessThan(Duration.ofSeconds(5));
            mOutput.mUnblocked.countDown();
        }
    }
}
