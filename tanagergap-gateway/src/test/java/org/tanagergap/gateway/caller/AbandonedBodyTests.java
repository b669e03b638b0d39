package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.testing.PausedClock;

/**
 * Guards the memory of a gateway against bodies whose callers have disconnected: their timers kept
 * them until their timeout, although their memory was given to others.
 */
final class AbandonedBodyTests {

    private static final int MEMORY = 8 << 20;
    private static final int BODY_BYTES = 4 << 20;
    private static final long WAIT_SECONDS = 5;

    /** A body waits for memory for a quarter of the time in which it must arrive. */
    private static final Duration MAX_WAIT = CallerLimits.DEFAULT.headerTimeout().dividedBy(4);

    /** What was held back of a body is passed on in a later pass of the event loop. */
    private static final Duration NEXT_PASS = Duration.ofMillis(1);

    private final PausedClock mClock = new PausedClock();
    private CallerServerHarness mHarness;
    private int mIdleTasks;

    @BeforeEach
    void start() throws Exception {
        mHarness = CallerServerHarness.ofBodies(ignored -> mClock, new SharedMemoryLimit(MEMORY));
        mIdleTasks = mClock.pendingTasks();
    }

    @AfterEach
    void close() throws Exception {
        mHarness.close();
    }

    private Socket send(int bodyBytes) throws Exception {
        Socket socket = mHarness.connect();
        String head = "POST /x HTTP/1.1\r\nHost: " + CallerServerHarness.HOST + "\r\n";
        CallerServerHarness.send(socket, head + "Content-Length: " + bodyBytes + "\r\n\r\nxxx");
        return socket;
    }

    private void awaitTasks(int tasks) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (mClock.pendingTasks() != tasks && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertWithMessage("scheduled tasks").that(mClock.pendingTasks()).isEqualTo(tasks);
    }

    @Test
    void anIncompleteBodyIsNotKept() throws Exception {
        Socket socket = send(BODY_BYTES);
        awaitTasks(mIdleTasks + 1);
        socket.close();

        awaitTasks(mIdleTasks);
    }

    @Test
    void aBodyThatWaitsForMemoryIsNotKept() throws Exception {
        send(BODY_BYTES);
        awaitTasks(mIdleTasks + 1);
        Socket second = send(BODY_BYTES / 2);
        awaitTasks(mIdleTasks + 2);
        second.close();
        // A body that waits is not read, so that the end of its connection is noticed afterwards.
        mHarness.mVertx.runOnContext(ignored -> mClock.advance(MAX_WAIT.plus(NEXT_PASS)));

        awaitTasks(mIdleTasks + 1);
    }

    @Test
    void theRestOfARefusedBodyIsNotAwaited() throws Exception {
        Socket socket = send(2 * BODY_BYTES);
        awaitTasks(mIdleTasks + 1);
        assertThat(socket.getInputStream().read()).isEqualTo('H');
        socket.close();

        awaitTasks(mIdleTasks);
    }
}
