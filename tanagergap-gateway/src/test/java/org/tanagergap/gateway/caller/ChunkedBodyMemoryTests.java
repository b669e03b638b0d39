package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.memory.ConnectionAdmission;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.runtime.http.BodyBuffer;
import org.tanagergap.runtime.time.VertxRuntimeClock;

/** Guards against bodies of unknown length that occupy more memory than they are charged with. */
final class ChunkedBodyMemoryTests {

    private static final long MEMORY = 24 << 20;
    private static final long WAIT_SECONDS = 5;

    private final SharedMemoryLimit mMemory = new SharedMemoryLimit(MEMORY);
    private CallerServerHarness mHarness;

    @BeforeEach
    void start() throws Exception {
        mHarness = CallerServerHarness.ofBodies(VertxRuntimeClock::new, mMemory);
    }

    @AfterEach
    void close() throws Exception {
        mHarness.close();
    }

    /** The buffer of a body of one byte has 16 KB; the body was charged with 2 bytes. */
    @Test
    void theBufferOfABodyIsChargedAsAWhole() throws Exception {
        long buffer = new BodyBuffer(CallerLimits.DEFAULT.maxBodyBytes()).capacityFor(1);
        Socket socket = mHarness.connect();
        String head = "POST /x HTTP/1.1\r\nHost: " + CallerServerHarness.HOST + "\r\n";
        CallerServerHarness.send(socket, head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");

        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        long expected = ConnectionAdmission.CONNECTION_BYTES + buffer;
        while (mMemory.usedBytes() < expected && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(mMemory.usedBytes()).isAtLeast(expected);
    }
}
