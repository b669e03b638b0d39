package org.tanagergap.entry.execution;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.testing.PausedClock;

/** Guards against stalls that are reported for attempts on which something has just arrived. */
final class StallTimerTests {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final PausedClock mClock = new PausedClock();
    private final AtomicInteger mStalls = new AtomicInteger();
    private final StallTimer mTimer = new StallTimer(mClock, mEventLoop, mStalls::incrementAndGet);

    @AfterEach
    void close() {
        mVertx.close().await();
    }

    @Test
    void aStallIsReportedOncePerTimeout() {
        whenTheTimeoutPassesBefore(timer -> {});
        assertThat(mStalls.get()).isEqualTo(1);
    }

    @Test
    void aRestartPreventsAStallThatIsAboutToBeReported() {
        whenTheTimeoutPassesBefore(timer -> timer.restart(TIMEOUT));
        assertThat(mStalls.get()).isEqualTo(0);
    }

    @Test
    void anEndPreventsAStallThatIsAboutToBeReported() {
        whenTheTimeoutPassesBefore(StallTimer::cancel);
        assertThat(mStalls.get()).isEqualTo(0);
    }

    private void whenTheTimeoutPassesBefore(Consumer<StallTimer> action) {
        mTimer.restart(TIMEOUT);
        Promise<Void> done = Promise.promise();
        mEventLoop.runOnContext(
                ignored -> {
                    mClock.advance(TIMEOUT);
                    action.accept(mTimer);
                    mEventLoop.runOnContext(nothing -> done.complete());
                });
        done.future().await();
    }
}
