package org.tanagergap.runtime.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpConnection;

/** Logs failures of client connections. */
public final class ClientConnections {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private ClientConnections() {}

    /**
     * Logs failures of the connection at level fine, as the affected calls report them as well. To
     * be passed to {@code HttpClientBuilder.withConnectHandler}.
     */
    public static void logFailures(HttpConnection connection) {
        connection.exceptionHandler(
                failure -> sLogger.atFine().log("HTTP client connection failed: %s", failure));
    }
}
