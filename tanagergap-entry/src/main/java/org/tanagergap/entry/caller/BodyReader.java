package org.tanagergap.entry.caller;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.time.Duration;
import java.util.function.Consumer;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Durations;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.runtime.http.BodyBuffer;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.time.PendingReads;

/** Reads the body of one call and enforces the limits on size, arrival time and memory. */
final class BodyReader {

    private static final String BODY_FIELD = "body";
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    /** Time for the caller to read a refusal before the stream of its unfinished body is closed. */
    private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

    /** Longest time for which a body waits for memory; another entry may have some. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** The request to the agent contains the prompt of the body once more. */
    private static final int MEMORY_FACTOR = 2;

    private final CallerServerContext mServerContext;
    private final CallerCall mCall;
    private final HttpServerRequest mRequest;
    private final Consumer<Buffer> mConsumer;
    private final Context mEventLoop;
    private final BodyAdmission.Reservation mMemory;
    private final BodyBuffer mBody;
    private final long mDeclaredBytes;
    private boolean mEnded;
    private Timer mTimer = () -> {};

    private BodyReader(
            CallerServerContext serverContext, CallerCall call, Consumer<Buffer> consumer) {
        mServerContext = serverContext;
        mCall = call;
        mRequest = call.context().request();
        mConsumer = consumer;
        mEventLoop = serverContext.vertx().getOrCreateContext();
        mDeclaredBytes = declaredBytes();
        mBody = new BodyBuffer(mDeclaredBytes > 0 ? mDeclaredBytes : maxBytes());
        mMemory =
                serverContext
                        .bodies()
                        .open(
                                call.policy().rank().priority(),
                                isHttp2() ? BodyAdmission.NO_WAIT : MAX_WAIT,
                                this::admitted,
                                this::refuseAsOverloaded);
    }

    /** Reads the body and passes it to the consumer, or refuses the call. */
    static void read(
            CallerServerContext serverContext, CallerCall call, Consumer<Buffer> consumer) {
        new BodyReader(serverContext, call, consumer).start();
    }

    private void start() {
        mCall.onEnd(this::release);
        mCall.onDisconnect(this::abandoned);
        mRequest.exceptionHandler(ignored -> abandoned());
        mRequest.handler(this::received);
        mRequest.endHandler(ignored -> completed());
        if (mDeclaredBytes > maxBytes()) {
            refuse(tooLarge());
            return;
        }
        startTimer();
        if (mDeclaredBytes > 0) {
            reserve(mDeclaredBytes);
        }
    }

    private long maxBytes() {
        return Math.min(
                mServerContext.settings().maxBodyBytes(),
                mServerContext.bodies().maxBodyBytes() / MEMORY_FACTOR);
    }

    private long declaredBytes() {
        String length = mRequest.getHeader("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private boolean isHttp2() {
        return mRequest.version() == HttpVersion.HTTP_2;
    }

    private void received(Buffer bytes) {
        if (mEnded) {
            return;
        }
        long length = (long) mBody.length() + bytes.length();
        if (length > maxBytes()) {
            refuse(tooLarge());
        } else if (!mCall.tryReserve(bytes.length())) {
            refuseAsOverloaded(MIN_RETRY_AFTER);
        } else {
            mBody.append(bytes);
            if (length > mDeclaredBytes) {
                reserve(length);
            }
        }
    }

    /** Reserves memory and pauses reading until it is granted. */
    private void reserve(long bytes) {
        BodyAdmission.Answer answer =
                mMemory.reserve(MEMORY_FACTOR * bytes, mServerContext.clock().nanoTime());
        if (answer == BodyAdmission.Answer.WAITING) {
            mRequest.pause();
            InboundProtection.pauseBody(mRequest);
            schedule(MAX_WAIT, () -> mMemory.waitEnded(mServerContext.clock().nanoTime()));
        }
    }

    private void admitted() {
        if (!mEnded) {
            // The caller could not send while reading was paused.
            startTimer();
            resume();
        }
    }

    private void resume() {
        mRequest.resume();
        InboundProtection.resumeBody(mRequest);
    }

    private void startTimer() {
        PendingReads reads = new PendingReads(mServerContext.clock());
        schedule(mServerContext.settings().bodyTimeout(), () -> reads.thenRun(this::timedOut));
    }

    private void schedule(Duration delay, Runnable task) {
        mTimer.cancel();
        mTimer =
                mServerContext
                        .clock()
                        .schedule(delay, () -> mEventLoop.runOnContext(ignored -> task.run()));
    }

    private void completed() {
        if (!mEnded) {
            mEnded = true;
            mTimer.cancel();
            mMemory.completed();
            mConsumer.accept(mBody.bytes());
        }
    }

    private void timedOut() {
        if (!mEnded) {
            refuse(
                    RequestFailure.notRun(
                                    FailureCode.REQUEST_TIMEOUT,
                                    "the body did not arrive within "
                                            + mServerContext.settings().bodyTimeout().toMillis()
                                            + " ms")
                            .withField(BODY_FIELD));
        }
    }

    private void abandoned() {
        if (!mEnded) {
            mEnded = true;
            mTimer.cancel();
            mCall.abandoned();
        }
    }

    /** The body may stay reachable for longer, and its memory is given to another one at once. */
    private void release() {
        mBody.clear();
        mMemory.close(mServerContext.clock().nanoTime());
    }

    private RequestFailure tooLarge() {
        return RequestFailure.notRun(
                        FailureCode.BODY_TOO_LARGE, "the body exceeds " + maxBytes() + " bytes")
                .withField(BODY_FIELD);
    }

    private void refuseAsOverloaded(Duration wait) {
        Duration after = Durations.clamp(wait, MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        refuse(
                RequestFailure.notRun(
                                FailureCode.OVERLOADED, "the entry has no memory for the body")
                        .withField(BODY_FIELD)
                        .withRetryAfter(after));
    }

    private void refuse(RequestFailure failure) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTimer.cancel();
        mCall.refuse(failure);
        if (!mRequest.isEnded()) {
            discardRest();
        }
    }

    /** Reads what the caller still sends, so that it receives the refusal, and ends the stream. */
    private void discardRest() {
        resume();
        if (isHttp2()) {
            // Other requests share the connection.
            schedule(CLOSE_DELAY, this::resetIfUnfinished);
        } else {
            mTimer = InboundProtection.closeAfter(mRequest, CLOSE_DELAY);
            mRequest.endHandler(ignored -> mTimer.cancel());
        }
    }

    private void resetIfUnfinished() {
        if (!mRequest.isEnded()) {
            mRequest.response().reset();
        }
    }
}
