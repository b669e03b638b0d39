package org.tanagergap.runtime.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Sends a request and buffers its response in memory; for short responses only. */
public final class BufferedCall {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Buffered response.
     *
     * @param status HTTP status code
     * @param body complete body
     */
    public record Response(int status, Buffer body) {}

    private BufferedCall() {}

    /**
     * Sends the request with the optional body and reads the complete response. Resets the request
     * if the response is not complete within the timeout.
     */
    public static Future<Response> send(
            HttpClientRequest request, Optional<Buffer> body, Duration timeout) {
        // The returned future reports the failure; without a handler Vert.x logs it as unhandled.
        request.exceptionHandler(
                failure -> sLogger.atFine().log("HTTP request failed: %s", failure));
        return body.map(request::send)
                .orElseGet(request::send)
                .compose(
                        response ->
                                response.body()
                                        .map(bytes -> new Response(response.statusCode(), bytes)))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .onFailure(ignored -> request.reset());
    }
}
