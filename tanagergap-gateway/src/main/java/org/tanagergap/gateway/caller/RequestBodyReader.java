package org.tanagergap.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Durations;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.runtime.http.BodyBuffer;
import org.tanagergap.runtime.http.InboundProtection;
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
        private final int mDeclaredBytes;
        private final BodyBuffer mBody;
        private Optional<Buffer> mWaitingPart = Optional.empty();
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
            mDeclaredBytes = declaredBytes(request);
            mBody = new BodyBuffer(mDeclaredBytes > 0 ? mDeclaredBytes : limits.maxBodyBytes());
            mMemory =
                    mAdmission.open(
                            rank,
                            limits.headerTimeout().dividedBy(PATIENCE_DIVISOR),
                            this::admitted,
                            this::rejectAsOverloaded);
        }

        private void start() {
            mExchange.onRelease(this::release);
            mRequest.handler(this::received);
            mRequest.exceptionHandler(ignored -> end());
            mRequest.endHandler(ignored -> complete());
            if (mDeclaredBytes > maxBytes()) {
                rejectAsTooLarge();
                return;
            }
            startTimer();
            if (mDeclaredBytes > 0) {
                reserve(mDeclaredBytes);
            }
        }

        /**
         * The body may stay reachable for longer, and its memory is given to another one at once.
         */
        private void release() {
            if (!mEnded) {
                end();
            }
            clear();
            mMemory.close(mClock.nanoTime());
        }

        /** The memory of this process may be too small for what the configuration allows. */
        private long maxBytes() {
            long growth = mDeclaredBytes > 0 ? 1 : BodyBuffer.GROWTH_FACTOR;
            return Math.min(mLimits.maxBodyBytes(), mAdmission.maxBodyBytes() / growth);
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
            long memory = mBody.capacityFor(length);
            BodyAdmission.Answer answer =
                    memory <= mReservedBytes ? BodyAdmission.Answer.ADMITTED : reserve(memory);
            if (answer == BodyAdmission.Answer.ADMITTED) {
                mBody.append(bytes);
            } else if (answer == BodyAdmission.Answer.WAITING) {
                mWaitingPart = Optional.of(bytes);
            }
        }

        /** Reserves memory and pauses reading until it is granted. */
        private BodyAdmission.Answer reserve(long bytes) {
            mReservedBytes = bytes;
            BodyAdmission.Answer answer = mMemory.reserve(bytes, mClock.nanoTime());
            if (answer == BodyAdmission.Answer.WAITING) {
                mRequest.pause();
                InboundProtection.pauseBody(mRequest);
                mTimer.cancel();
                mTimer =
                        mClock.schedule(
                                mLimits.headerTimeout().dividedBy(PATIENCE_DIVISOR),
                                () -> mMemory.waitEnded(mClock.nanoTime()));
            }
            return answer;
        }

        private void clear() {
            mBody.clear();
            mWaitingPart = Optional.empty();
        }

        private void resume() {
            mRequest.resume();
            InboundProtection.resumeBody(mRequest);
        }

        private void admitted() {
            if (mEnded) {
                return;
            }
            // The caller could not send while reading was paused.
            startTimer();
            mWaitingPart.ifPresent(mBody::append);
            mWaitingPart = Optional.empty();
            resume();
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
                mConsumer.accept(mBody.bytes());
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
            Duration after = Durations.clamp(wait, MIN_RETRY_AFTER, MAX_RETRY_AFTER);
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
                clear();
                mExchange.sendFailure(failure);
                discardRest();
            }
        }

        /**
         * Reads the rest of a refused body without keeping it: closing a connection with unread
         * bytes resets it, and the caller may lose the response.
         */
        private void discardRest() {
            mTimer = InboundProtection.closeAfter(mRequest, mLimits.headerTimeout());
            resume();
        }

        private boolean end() {
            boolean first = !mEnded;
            mEnded = true;
            mTimer.cancel();
            return first;
        }
    }
}
