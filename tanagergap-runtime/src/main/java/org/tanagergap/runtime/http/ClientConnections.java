package org.tanagergap.runtime.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpConnection;

/** Handles failures of client connections, whose calls report them as well. */
public final class ClientConnections {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private ClientConnections() {}

    /** For {@code HttpClientBuilder.withConnectHandler}; failures are logged at level fine. */
    public static void logFailures(HttpConnection connection) {
        connection.exceptionHandler(
                failure -> sLogger.atFine().log("a connection failed: %s", failure));
    }
}
