package org.tanagergap.gateway.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.gateway.configuration.CallerLimits;

/** Reads the bodies of requests within the configured limits. Confined to the event loop. */
final class RequestBodyReader {

    private final RuntimeClock mClock;

    RequestBodyReader(RuntimeClock clock) {
        mClock = clock;
    }

    /**
     * Reads the body and passes it on when it is complete. A request whose body is too large or
     * comes too late is refused instead.
     */
    void read(
            HttpServerRequest request,
            CallerExchange exchange,
            CallerLimits limits,
            Consumer<Buffer> consumer) {
        Buffer body = Buffer.buffer();
        Timer timer =
                mClock.schedule(
                        limits.headerTimeout(),
                        () ->
                                reject(
                                        exchange,
                                        FailureCode.REQUEST_TIMEOUT,
                                        "the body did not arrive in time"));
        if (declaredBytes(request) > limits.maxBodyBytes()) {
            timer.cancel();
            reject(exchange, FailureCode.BODY_TOO_LARGE, "the body is too large");
            return;
        }
        request.handler(
                bytes -> {
                    body.appendBuffer(bytes);
                    if (body.length() > limits.maxBodyBytes()) {
                        timer.cancel();
                        reject(exchange, FailureCode.BODY_TOO_LARGE, "the body is too large");
                    }
                });
        request.exceptionHandler(ignored -> timer.cancel());
        request.endHandler(
                ignored -> {
                    timer.cancel();
                    if (!exchange.hasEnded()) {
                        consumer.accept(body);
                    }
                });
    }

    private static long declaredBytes(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static void reject(CallerExchange exchange, FailureCode code, String message) {
        exchange.closeAfterResponse();
        exchange.sendFailure(RequestFailure.notRun(code, message).withField("body"));
    }
}
