package org.tanagergap.runtime.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a separate thread, so that a blocked output does not block the threads that
 * log. Lines beyond the limits are dropped; a warning reports their number.
 */
final class BoundedLogHandler extends Handler {

    /** Lines that can wait for the writer thread. */
    private static final int MAX_QUEUED_LINES = 4096;

    /** Lines accepted per second; each request and each membership change logs one line. */
    private static final int MAX_LINES_PER_SECOND = 1000;

    /** Lines are written in batches at this interval, since each write wakes up the thread. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(100);

    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(300);

    private final OutputStream mOutput;
    private final Thread mWriterThread;
    private final Object mLock = new Object();
    private final Deque<String> mQueue = new ArrayDeque<>();
    private long mSecond;
    private int mLinesInSecond;
    private long mDropped;
    private boolean mWriting;
    private boolean mClosed;

    BoundedLogHandler(OutputStream output) {
        mOutput = Objects.requireNonNull(output, "output must not be null");
        mWriterThread = new Thread(this::writeLoop, "log-writer");
        mWriterThread.setDaemon(true);
        mWriterThread.start();
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!isLoggable(logRecord)) {
            return;
        }
        String line = getFormatter().format(logRecord);
        synchronized (mLock) {
            if (mClosed || !withinLimits(logRecord)) {
                mDropped++;
                return;
            }
            mQueue.addLast(line);
            mLock.notifyAll();
        }
    }

    /** Waits until the queued lines are written, at most for {@link #CLOSE_TIMEOUT}. */
    @Override
    public void flush() {
        long end = System.nanoTime() + CLOSE_TIMEOUT.toNanos();
        synchronized (mLock) {
            while ((mWriting || !mQueue.isEmpty()) && System.nanoTime() < end) {
                await(BATCH_INTERVAL);
            }
        }
    }

    /** Writes the queued lines and stops the writer thread; waits at most twice the timeout. */
    @Override
    public void close() {
        flush();
        synchronized (mLock) {
            mClosed = true;
            mLock.notifyAll();
        }
        try {
            mWriterThread.join(CLOSE_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean withinLimits(LogRecord logRecord) {
        long second = logRecord.getMillis() / 1000;
        if (second != mSecond) {
            mSecond = second;
            mLinesInSecond = 0;
        }
        mLinesInSecond++;
        return mLinesInSecond <= MAX_LINES_PER_SECOND && mQueue.size() < MAX_QUEUED_LINES;
    }

    private void writeLoop() {
        List<String> batch = new ArrayList<>();
        while (nextBatch(batch)) {
            try {
                mOutput.write(String.join("", batch).getBytes(StandardCharsets.UTF_8));
                mOutput.flush();
            } catch (IOException e) {
                reportError("log lines could not be written", e, ErrorManager.WRITE_FAILURE);
            }
            batch.clear();
            synchronized (mLock) {
                mWriting = false;
                mLock.notifyAll();
            }
            pause();
        }
    }

    private void pause() {
        try {
            Thread.sleep(BATCH_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean nextBatch(List<String> batch) {
        synchronized (mLock) {
            while (mQueue.isEmpty() && mDropped == 0) {
                if (mClosed) {
                    return false;
                }
                await(Duration.ZERO);
            }
            mWriting = true;
            batch.addAll(mQueue);
            mQueue.clear();
            if (mDropped > 0) {
                batch.add(droppedLine(mDropped));
                mDropped = 0;
            }
            return true;
        }
    }

    private String droppedLine(long dropped) {
        LogRecord warning = new LogRecord(Level.WARNING, dropped + " log lines were dropped");
        warning.setLoggerName(BoundedLogHandler.class.getName());
        return getFormatter().format(warning);
    }

    /** Waits on the lock; without a timeout if the duration is zero. */
    private void await(Duration duration) {
        try {
            mLock.wait(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
