package org.tanagergap.runtime.time;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** System clock; scheduled tasks run on Vert.x event loops. */
public final class VertxRuntimeClock implements RuntimeClock {

    private final Vertx mVertx;

    public VertxRuntimeClock(Vertx vertx) {
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
    }

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        // Vert.x rejects delays below one millisecond.
        long delayMillis = Math.max(1, delay.toMillis());
        long id = mVertx.setTimer(delayMillis, ignored -> task.run());
        return () -> mVertx.cancelTimer(id);
    }
}
