package org.tanagergap.runtime.http;

import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpServerOptions;

/** Limits of HTTP/2 servers whose clients multiplex many requests on one connection. */
public final class ServerLimits {

    /**
     * Concurrent streams of one connection. The limit exceeds the agent's queue limit of 1,024 plus
     * the requests running on an engine, so that requests wait in the agent's queue, ordered by
     * rank, and not in the entry for a free stream.
     */
    private static final long MAX_STREAMS = 4_096;

    /**
     * Stream resets of one connection in 30 s. Each caller that disconnects resets a stream. The
     * default limit of 200 would close the connection of an entry or a load balancer together with
     * all other streams on it.
     */
    private static final int MAX_RESETS_PER_WINDOW = 100_000;

    private ServerLimits() {}

    /** Creates server options with these limits. */
    public static HttpServerOptions options() {
        return new HttpServerOptions()
                .setInitialSettings(new Http2Settings().setMaxConcurrentStreams(MAX_STREAMS))
                .setHttp2RstFloodMaxRstFramePerWindow(MAX_RESETS_PER_WINDOW);
    }
}
