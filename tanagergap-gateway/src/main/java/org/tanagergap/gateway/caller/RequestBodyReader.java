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
import org.tanagergap.runtime.time.PendingReads;

/** Reads the bodies of requests within the configured limits. Confined to the event loop. */
final class RequestBodyReader {

    private final RuntimeClock mClock;
    private final PendingReads mReads;

    RequestBodyReader(RuntimeClock clock) {
        mClock = clock;
        mReads = new PendingReads(clock);
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
        new Reading(exchange, limits, consumer).start(request);
    }

    private static long declaredBytes(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The body of one request. */
    private final class Reading {

        private final CallerExchange mExchange;
        private final CallerLimits mLimits;
        private final Consumer<Buffer> mConsumer;
        private final Buffer mBody = Buffer.buffer();
        private Timer mTimer = () -> {};
        private boolean mEnded;

        private Reading(CallerExchange exchange, CallerLimits limits, Consumer<Buffer> consumer) {
            mExchange = exchange;
            mLimits = limits;
            mConsumer = consumer;
        }

        private void start(HttpServerRequest request) {
            if (declaredBytes(request) > mLimits.maxBodyBytes()) {
                rejectAsTooLarge();
                return;
            }
            mTimer =
                    mClock.schedule(
                            mLimits.headerTimeout(), () -> mReads.thenRun(this::rejectAsTooLate));
            request.handler(this::received);
            request.exceptionHandler(ignored -> end());
            request.endHandler(ignored -> complete());
        }

        private void received(Buffer bytes) {
            if (mEnded) {
                return;
            }
            mBody.appendBuffer(bytes);
            if (mBody.length() > mLimits.maxBodyBytes()) {
                rejectAsTooLarge();
            }
        }

        private void complete() {
            if (end() && !mExchange.hasEnded()) {
                mConsumer.accept(mBody);
            }
        }

        private void rejectAsTooLarge() {
            reject(FailureCode.BODY_TOO_LARGE, "the body is too large");
        }

        private void rejectAsTooLate() {
            reject(FailureCode.REQUEST_TIMEOUT, "the body did not arrive in time");
        }

        private void reject(FailureCode code, String message) {
            if (end()) {
                mExchange.closeAfterResponse();
                mExchange.sendFailure(RequestFailure.notRun(code, message).withField("body"));
            }
        }

        private boolean end() {
            boolean first = !mEnded;
            mEnded = true;
            mTimer.cancel();
            return first;
        }
    }
}
