package org.tanagergap.gateway.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.tanagergap.runtime.http.ClientConnections;

/** Creates the HTTP client for upstreams and peers. */
public final class UpstreamClients {

    private static final int MAX_CONNECTIONS = 4096;

    private UpstreamClients() {}

    /** Creates a client. */
    public static HttpClient create(Vertx vertx) {
        // One connection for each request, so that late data cannot belong to another one.
        HttpClientOptions options =
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setPipelining(false)
                        .setDecompressionSupported(false);
        PoolOptions pool =
                new PoolOptions()
                        .setHttp1MaxSize(MAX_CONNECTIONS)
                        .setMaxWaitQueueSize(MAX_CONNECTIONS);
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(ClientConnections::checkResponses)
                .build();
    }
}
