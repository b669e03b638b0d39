package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.testing.PausedClock;

/** Guards requests against the close of a connection on which they have arrived. */
final class IdleConnectionsTests {

    private static final Duration LIMIT = Duration.ofSeconds(3);

    /** Longer than the time in which bytes that have arrived are read. */
    private static final Duration READ_TIME = Duration.ofMillis(500);

    private final PausedClock mClock = new PausedClock();
    private final List<String> mClosed = new ArrayList<>();
    private final IdleConnections<String> mConnections =
            new IdleConnections<>(mClock, mClosed::add);

    @BeforeEach
    void open() {
        mConnections.limitInForce(LIMIT);
        mClock.advance(IdleLimits.CALLER_DELAY);
        mConnections.opened("c");
    }

    @Test
    void aRequestThatArrivedBeforeTheSweepAndIsReadAfterItKeepsItsConnection() {
        mClock.advance(LIMIT);
        mConnections.closeIdle();
        mConnections.requestStarted("c");
        mClock.advance(READ_TIME);
        mConnections.requestEnded("c");
        mClock.advance(READ_TIME);

        assertThat(mClosed).isEmpty();
    }

    @Test
    void aShortRequestBetweenTheSweepAndTheCloseKeepsItsConnection() {
        mClock.advance(LIMIT);
        mConnections.closeIdle();
        mConnections.requestStarted("c");
        mConnections.requestEnded("c");
        mClock.advance(READ_TIME);

        assertThat(mClosed).isEmpty();
    }

    @Test
    void aRequestThatArrivesWhileTheEventLoopIsBusyKeepsItsConnection() {
        mClock.advance(LIMIT);
        mConnections.closeIdle();
        mClock.advanceWhileBusy(READ_TIME);
        mClock.advance(Duration.ZERO);
        mConnections.requestStarted("c");
        mClock.advance(READ_TIME);

        assertThat(mClosed).isEmpty();
    }

    @Test
    void anIdleConnectionIsClosedOnce() {
        mClock.advance(LIMIT);
        mConnections.closeIdle();
        mConnections.closeIdle();
        mClock.advance(READ_TIME);

        assertThat(mClosed).containsExactly("c");
    }

    @Test
    void aConnectionThatTheCallerClosedIsNotClosedAgain() {
        mClock.advance(LIMIT);
        mConnections.closeIdle();
        mConnections.closed("c");
        mClock.advance(READ_TIME);

        assertThat(mClosed).isEmpty();
    }

    @Test
    void aConnectionWithARequestIsNotIdle() {
        mConnections.requestStarted("c");
        mClock.advance(LIMIT.multipliedBy(2));
        mConnections.closeIdle();
        mClock.advance(READ_TIME);

        assertThat(mClosed).isEmpty();
    }

    @Test
    void aShutdownClosesConnectionsEarlier() {
        mClock.advance(Duration.ofMillis(150));
        mConnections.closeIdle(Duration.ofMillis(150));
        mClock.advance(READ_TIME);

        assertThat(mClosed).containsExactly("c");
    }
}
