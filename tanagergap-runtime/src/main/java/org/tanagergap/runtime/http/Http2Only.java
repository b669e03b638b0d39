package org.tanagergap.runtime.http;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;

/**
 * Refuses requests of older versions than HTTP/2. A gRPC server would otherwise take those of
 * gRPC-Web and keep their messages in memory that nothing bounds.
 */
public final class Http2Only {

    private static final int HTTP_VERSION_NOT_SUPPORTED = 505;

    private Http2Only() {}

    /** Returns a handler that passes on the requests of HTTP/2. */
    public static Handler<HttpServerRequest> handler(Handler<HttpServerRequest> calls) {
        return request -> {
            if (request.version() == HttpVersion.HTTP_2) {
                calls.handle(request);
            } else {
                refuse(request);
            }
        };
    }

    private static void refuse(HttpServerRequest request) {
        request.response()
                .setStatusCode(HTTP_VERSION_NOT_SUPPORTED)
                .putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
                .end("this port serves HTTP/2 only\n");
    }
}
