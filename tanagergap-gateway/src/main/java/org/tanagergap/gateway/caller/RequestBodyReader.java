package org.tanagergap.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.runtime.log.LogKeys;
import org.tanagergap.runtime.time.PendingReads;

/**
 * Reads the bodies of requests within the configured limits and the memory for all of them.
 * Confined to the event loop.
 */
final class RequestBodyReader {

    /**
     * Part of the time for a body that it may wait for memory: a caller that is refused has to send
     * the body again, and one that waits longer could have used another instance.
     */
    private static final int PATIENCE_DIVISOR = 4;

    /** A body of unknown length takes up to twice its size while it grows. */
    private static final int GROWTH_FACTOR = 2;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final PendingReads mReads;
    private final BodyAdmission mAdmission;

    RequestBodyReader(RuntimeClock clock, BodyAdmission admission) {
        mClock = clock;
        mReads = new PendingReads(clock);
        mAdmission = admission;
    }

    /**
     * Reads the body and passes it on when it is complete. A request whose body is too large, comes
     * too late or finds no memory is refused instead.
     *
     * @param rank rank of the request; 0 is the most urgent
     */
    void read(
            HttpServerRequest request,
            CallerExchange exchange,
            CallerLimits limits,
            int rank,
            Consumer<Buffer> consumer) {
        new Reading(request, exchange, limits, rank, consumer).start();
    }

    private static int declaredBytes(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : (int) Math.min(Integer.MAX_VALUE, Long.parseLong(length));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The body of one request. */
    private final class Reading {

        private final HttpServerRequest mRequest;
        private final CallerExchange mExchange;
        private final CallerLimits mLimits;
        private final Consumer<Buffer> mConsumer;
        private final BodyAdmission.Reservation mMemory;
        private Buffer mBody = Buffer.buffer();
        private int mDeclaredBytes;
        private long mReservedBytes;
        private Timer mTimer = () -> {};
        private boolean mEnded;

        private Reading(
                HttpServerRequest request,
                CallerExchange exchange,
                CallerLimits limits,
                int rank,
                Consumer<Buffer> consumer) {
            mRequest = request;
            mExchange = exchange;
            mLimits = limits;
            mConsumer = consumer;
            mMemory =
                    mAdmission.open(
                            rank,
                            limits.headerTimeout().dividedBy(PATIENCE_DIVISOR),
                            this::admitted,
                            this::rejectAsOverloaded);
        }

        private void start() {
            mExchange.onRelease(() -> mMemory.close(mClock.nanoTime()));
            mRequest.handler(this::received);
            mRequest.exceptionHandler(ignored -> end());
            mRequest.endHandler(ignored -> complete());
            mDeclaredBytes = declaredBytes(mRequest);
            if (mDeclaredBytes > maxBytes()) {
                rejectAsTooLarge();
                return;
            }
            startTimer();
            if (mDeclaredBytes > 0 && reserve(mDeclaredBytes)) {
                allocate();
            }
        }

        /** The memory of this process may be too small for what the configuration allows. */
        private long maxBytes() {
            long growth = mDeclaredBytes > 0 ? 1 : GROWTH_FACTOR;
            return Math.min(mLimits.maxBodyBytes(), mAdmission.maxBodyBytes() / growth);
        }

        /** Allocates a body of known length as a whole, since a growing one takes more memory. */
        private void allocate() {
            if (mBody.length() == 0) {
                mBody = Buffer.buffer(mDeclaredBytes);
            }
        }

        private void received(Buffer bytes) {
            if (mEnded) {
                return;
            }
            int length = mBody.length() + bytes.length();
            if (length > maxBytes()) {
                rejectAsTooLarge();
                return;
            }
            mBody.appendBuffer(bytes);
            if (length > mReservedBytes) {
                reserve((long) GROWTH_FACTOR * length);
            }
        }

        /** Reserves memory and pauses reading until it is granted; false if it is not yet. */
        private boolean reserve(long bytes) {
            mReservedBytes = bytes;
            BodyAdmission.Answer answer = mMemory.reserve(bytes, mClock.nanoTime());
            if (answer == BodyAdmission.Answer.WAITING) {
                mRequest.pause();
                mTimer.cancel();
                mTimer =
                        mClock.schedule(
                                mLimits.headerTimeout().dividedBy(PATIENCE_DIVISOR),
                                () -> mMemory.waitEnded(mClock.nanoTime()));
            }
            return answer == BodyAdmission.Answer.ADMITTED;
        }

        private void admitted() {
            if (mEnded) {
                return;
            }
            // The caller could not send while reading was paused.
            startTimer();
            allocate();
            mRequest.resume();
        }

        private void startTimer() {
            mTimer.cancel();
            mTimer =
                    mClock.schedule(
                            mLimits.headerTimeout(), () -> mReads.thenRun(this::rejectAsTooLate));
        }

        private void complete() {
            mMemory.completed();
            mTimer.cancel();
            if (end() && !mExchange.hasEnded()) {
                mConsumer.accept(mBody);
            }
        }

        private void rejectAsTooLarge() {
            refuse(
                    RequestFailure.notRun(FailureCode.BODY_TOO_LARGE, "the body is too large")
                            .withField("body"));
        }

        private void rejectAsTooLate() {
            if (end()) {
                mExchange.closeAfterResponse();
                mExchange.sendFailure(
                        RequestFailure.notRun(
                                        FailureCode.REQUEST_TIMEOUT,
                                        "the body did not arrive in time")
                                .withField("body"));
            }
        }

        private void rejectAsOverloaded(Duration wait) {
            Duration atLeast = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
            Duration after = atLeast.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : atLeast;
            sLogger.atInfo()
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .with(LogKeys.REQUEST_ID, mExchange.id().value())
                    .log(
                            "no memory for a body of %d bytes beside %d reserved ones;"
                                    + " refused, retry after %d ms",
                            mReservedBytes, mAdmission.reservedBytes(), after.toMillis());
            refuse(
                    RequestFailure.notRun(FailureCode.OVERLOADED, "there is no memory for the body")
                            .withRetryAfter(after));
        }

        private void refuse(RequestFailure failure) {
            if (end()) {
                mBody = Buffer.buffer();
                mExchange.sendFailure(failure);
                discardRest();
            }
        }

        /**
         * Reads the rest of a refused body without keeping it: closing a connection with unread
         * bytes resets it, and the caller may lose the response.
         */
        private void discardRest() {
            mTimer = mClock.schedule(mLimits.headerTimeout(), () -> mRequest.connection().close());
            mRequest.resume();
        }

        private boolean end() {
            boolean first = !mEnded;
            mEnded = true;
            mTimer.cancel();
            return first;
        }
    }
}
