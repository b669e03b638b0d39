package org.tanagergap.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.time.RuntimeClock;

/** Tracks the open connections of callers and the requests on them. Confined to the event loop. */
final class CallerConnections {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final IdleConnections<HttpConnection> mConnections;

    CallerConnections(RuntimeClock clock) {
        mConnections = new IdleConnections<>(clock, HttpConnection::close);
    }

    void opened(HttpConnection connection) {
        mConnections.opened(connection);
        // Callers may reset connections at any time; the handlers of the requests end those.
        connection.exceptionHandler(
                failure -> sLogger.atFine().log("caller connection failed: %s", failure));
        connection.closeHandler(ignored -> mConnections.closed(connection));
    }

    void requestStarted(HttpConnection connection) {
        mConnections.requestStarted(connection);
    }

    void requestEnded(HttpConnection connection) {
        mConnections.requestEnded(connection);
    }

    /** Records the idle timeout of the configuration that is in force from now on. */
    void limitInForce(Duration limit) {
        mConnections.limitInForce(limit);
    }

    /** Closes the connections that have been idle for the timeout that their callers know. */
    void closeIdle() {
        mConnections.closeIdle();
    }

    /** Closes the connections that have been idle for the given time; completes afterwards. */
    CompletableFuture<Void> closeIdle(Duration limit) {
        return mConnections.closeIdle(limit);
    }
}
