package org.tanagergap.gateway.caller;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.time.PendingReads;

/**
 * Closes the connections on which no request has arrived for their idle timeout. Confined to the
 * event loop.
 *
 * @param <C> connection, compared by identity
 */
final class IdleConnections<C> {

    /** Time from finding a connection idle to closing it, for requests that are on their way. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(200);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final PendingReads mReads;
    private final Consumer<C> mClose;
    private final IdleLimits mLimits = new IdleLimits();
    private final Map<C, State> mStates = new HashMap<>();

    private static final class State {
        private int mRequests;
        private long mLastUsedNanos;
        private boolean mClosing;
    }

    IdleConnections(RuntimeClock clock, Consumer<C> close) {
        mClock = clock;
        mReads = new PendingReads(clock);
        mClose = close;
    }

    void opened(C connection) {
        State state = new State();
        state.mLastUsedNanos = mClock.nanoTime();
        mStates.put(connection, state);
    }

    void closed(C connection) {
        mStates.remove(connection);
    }

    void requestStarted(C connection) {
        State state = mStates.get(connection);
        if (state != null) {
            state.mRequests++;
            state.mClosing = false;
        }
    }

    void requestEnded(C connection) {
        State state = mStates.get(connection);
        if (state != null) {
            state.mRequests--;
            state.mLastUsedNanos = mClock.nanoTime();
        }
    }

    /** Records the idle timeout of the configuration that is in force from now on. */
    void limitInForce(Duration limit) {
        mLimits.inForce(limit, mClock.nanoTime());
    }

    /** Closes the connections that have been idle for the timeout that their callers know. */
    void closeIdle() {
        closeLater(idle(state -> mLimits.limitFor(state.mLastUsedNanos)), mLimits.current());
    }

    /** Closes the connections that have been idle for the given time; completes afterwards. */
    CompletableFuture<Void> closeIdle(Duration limit) {
        return closeLater(idle(state -> limit), limit);
    }

    /** Returns the idle connections that are not about to be closed. */
    private List<C> idle(Function<State, Duration> limit) {
        long now = mClock.nanoTime();
        List<C> idle = new ArrayList<>();
        mStates.forEach(
                (connection, state) -> {
                    long idleNanos = now - state.mLastUsedNanos;
                    if (state.mRequests == 0
                            && !state.mClosing
                            && idleNanos >= limit.apply(state).toNanos()) {
                        idle.add(connection);
                    }
                });
        return idle;
    }

    private CompletableFuture<Void> closeLater(List<C> connections, Duration limit) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        if (connections.isEmpty()) {
            closed.complete(null);
            return closed;
        }
        connections.forEach(connection -> mStates.get(connection).mClosing = true);
        long foundNanos = mClock.nanoTime();
        mClock.schedule(
                CLOSE_DELAY,
                () ->
                        mReads.thenRun(
                                () -> {
                                    closeUnlessUsed(connections, limit, foundNanos);
                                    closed.complete(null);
                                }));
        return closed;
    }

    private void closeUnlessUsed(List<C> connections, Duration limit, long foundNanos) {
        List<C> unused = connections.stream().filter(this::isClosing).toList();
        sLogger.atInfo().log(
                "closing %d connections of callers that were idle for %d ms, %d ms after they were"
                        + " found; %d others were used or closed since",
                unused.size(),
                limit.toMillis(),
                Duration.ofNanos(mClock.nanoTime() - foundNanos).toMillis(),
                connections.size() - unused.size());
        unused.forEach(mClose);
    }

    private boolean isClosing(C connection) {
        State state = mStates.get(connection);
        return state != null && state.mClosing;
    }
}
