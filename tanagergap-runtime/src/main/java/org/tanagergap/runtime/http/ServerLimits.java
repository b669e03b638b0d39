package org.tanagergap.runtime.http;

import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpServerOptions;

/** Limits of HTTP/2 servers whose clients put many requests on one connection. */
public final class ServerLimits {

    /**
     * Streams of one connection. Above the agent's queue bound of 1,024 and the runs of an engine,
     * so that work waits in that queue, by rank, and not in the entry for a free stream.
     */
    private static final long MAX_STREAMS = 4_096;

    /**
     * Resets of one connection in 30 s. Each caller who leaves resets a stream; the default of 200
     * closes the connection of an entry or a balancer with all other streams on it.
     */
    private static final int MAX_RESETS_PER_WINDOW = 100_000;

    private ServerLimits() {}

    /** Options of a server with these limits. */
    public static HttpServerOptions options() {
        return new HttpServerOptions()
                .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(MAX_STREAMS))
                .setHttp2RstFloodMaxRstFramePerWindow(MAX_RESETS_PER_WINDOW);
    }
}
