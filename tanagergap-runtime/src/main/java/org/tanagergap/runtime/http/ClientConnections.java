package org.tanagergap.runtime.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Sets up client connections; to be passed to {@code HttpClientBuilder.withConnectHandler}. */
public final class ClientConnections {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Name of the HTTP/1.1 decoder of Vert.x. */
    private static final String DECODER = "codec";

    private ClientConnections() {}

    /** Logs failures of the connection at level fine, as the affected calls report them as well. */
    private static void logFailures(HttpConnection connection) {
        connection.exceptionHandler(
                failure -> sLogger.atFine().log("HTTP client connection failed: %s", failure));
    }

    /**
     * Logs failures and discards or rejects what {@link ResponseCheck} can no longer recognize in a
     * response. Only for connections that are used for one request each.
     */
    public static void checkResponses(HttpConnection connection) {
        logFailures(connection);
        // Vert.x has no public access to the handlers of a client's connection.
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.addBefore(DECODER, "status-line-validator", new StatusLineValidator());
        pipeline.addAfter(DECODER, "informational-filter", new InformationalResponseFilter());
    }
}
