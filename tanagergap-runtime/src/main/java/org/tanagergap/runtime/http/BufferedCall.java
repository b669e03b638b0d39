package org.tanagergap.runtime.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Sends a request whose answer is short; a call that takes too long is reset. */
public final class BufferedCall {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Response of a call.
     *
     * @param status status code
     * @param body whole body
     */
    public record Response(int status, Buffer body) {}

    private BufferedCall() {}

    /** Sends the request, with a body when there is one, and reads the whole answer. */
    public static Future<Response> send(
            HttpClientRequest request, Optional<Buffer> body, Duration timeout) {
        // The future reports the failure; without a handler it would be logged as unhandled.
        request.exceptionHandler(failure -> sLogger.atFine().log("call failed: %s", failure));
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
