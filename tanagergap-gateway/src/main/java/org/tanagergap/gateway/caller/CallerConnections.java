package org.tanagergap.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.api.time.RuntimeClock;

/** Tracks the open connections of callers and the requests on them. Confined to the event loop. */
final class CallerConnections {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final Map<HttpConnection, ConnectionState> mStates = new HashMap<>();

    private static final class ConnectionState {
        private int mRequests;
        private long mLastUsedNanos;
    }

    CallerConnections(RuntimeClock clock) {
        mClock = clock;
    }

    void opened(HttpConnection connection) {
        ConnectionState state = new ConnectionState();
        state.mLastUsedNanos = mClock.nanoTime();
        mStates.put(connection, state);
        // Callers may reset connections at any time; the handlers of the requests end those.
        connection.exceptionHandler(
                failure -> sLogger.atFine().log("caller connection failed: %s", failure));
        connection.closeHandler(ignored -> mStates.remove(connection));
    }

    void requestStarted(HttpConnection connection) {
        ConnectionState state = mStates.get(connection);
        if (state != null) {
            state.mRequests++;
        }
    }

    void requestEnded(HttpConnection connection) {
        ConnectionState state = mStates.get(connection);
        if (state != null) {
            state.mRequests--;
            state.mLastUsedNanos = mClock.nanoTime();
        }
    }

    /** Closes the connections that have had no request for the given time. */
    void closeIdle(Duration idle) {
        long now = mClock.nanoTime();
        List<HttpConnection> idleConnections = new ArrayList<>();
        mStates.forEach(
                (connection, state) -> {
                    if (state.mRequests == 0 && now - state.mLastUsedNanos >= idle.toNanos()) {
                        idleConnections.add(connection);
                    }
                });
        if (!idleConnections.isEmpty()) {
            sLogger.atInfo().log(
                    "closing %d connections of callers that were idle for %d ms",
                    idleConnections.size(), idle.toMillis());
        }
        idleConnections.forEach(HttpConnection::close);
    }
}
