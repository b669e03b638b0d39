package org.tanagergap.runtime.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.time.RuntimeClock;

/** Sends a request and buffers its response in memory; for short responses only. */
public final class BufferedCall {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Buffered response.
     *
     * @param status HTTP status code
     * @param headers headers
     * @param body complete body
     */
    public record Response(int status, MultiMap headers, Buffer body) {}

    private BufferedCall() {}

    /**
     * Sends the request with the optional body and reads the complete response. Resets the request
     * if the response is not complete within the timeout or its body is larger than allowed.
     */
    public static Future<Response> send(
            HttpClientRequest request, Optional<Buffer> body, Duration timeout, int maxBodyBytes) {
        return send(request, body, TransferLimits.of(timeout, maxBodyBytes), () -> {});
    }

    /**
     * Sends the request with the optional body and reads the complete response. Resets the request
     * if one of the limits is exceeded or the response is invalid.
     */
    public static Future<Response> send(
            HttpClientRequest request,
            Optional<Buffer> body,
            TransferLimits limits,
            RuntimeClock clock) {
        IdleTimer idle = new IdleTimer(clock, limits.idleTimeout());
        Future<Response> response = send(request, body, limits, idle::restart);
        return idle.limit(response).onFailure(ignored -> request.reset());
    }

    private static Future<Response> send(
            HttpClientRequest request,
            Optional<Buffer> body,
            TransferLimits limits,
            Runnable onBytes) {
        // The returned future reports the failure; without a handler Vert.x logs it as unhandled.
        request.exceptionHandler(
                failure -> sLogger.atFine().log("HTTP request failed: %s", failure));
        Future<Void> sent = body.map(request::end).orElseGet(request::end);
        return request.response()
                .compose(response -> read(response, sent, limits.maxBodyBytes(), onBytes))
                .timeout(limits.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .onFailure(ignored -> request.reset());
    }

    private static Future<Response> read(
            HttpClientResponse response, Future<Void> sent, int maxBodyBytes, Runnable onBytes) {
        onBytes.run();
        Optional<String> headFault = ResponseCheck.headFault(response);
        if (headFault.isPresent()) {
            return Future.failedFuture(invalid(response, headFault.get()));
        }
        Promise<Response> result = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(result::tryFail);
        response.handler(
                bytes -> {
                    onBytes.run();
                    if (body.length() + bytes.length() > maxBodyBytes) {
                        response.pause();
                        result.tryFail("response body exceeds " + maxBodyBytes + " bytes");
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        response.endHandler(
                ignored ->
                        ResponseCheck.endFault(response, sent.succeeded())
                                .ifPresentOrElse(
                                        fault -> result.tryFail(invalid(response, fault)),
                                        () ->
                                                result.tryComplete(
                                                        new Response(
                                                                response.statusCode(),
                                                                response.headers(),
                                                                body))));
        return result.future();
    }

    private static InvalidResponseException invalid(HttpClientResponse response, String fault) {
        sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "response to %s is invalid: %s", response.request().absoluteURI(), fault);
        return new InvalidResponseException(fault);
    }
}
