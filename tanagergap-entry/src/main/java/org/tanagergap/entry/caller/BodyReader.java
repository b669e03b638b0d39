package org.tanagergap.entry.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.time.Duration;
import java.util.function.Consumer;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Timer;
import org.tanagergap.runtime.time.PendingReads;

/** Reads the body of one call and enforces the limits on size, arrival time and bytes in flight. */
final class BodyReader {

    private static final String BODY_FIELD = "body";
    private static final Duration OVERLOADED_RETRY_AFTER = Duration.ofMillis(500);

    /** Time for the caller to read a refusal before the stream of its unfinished body is closed. */
    private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

    private final CallerServerContext mServerContext;
    private final CallerCall mCall;
    private final HttpServerRequest mRequest;
    private final Consumer<Buffer> mConsumer;
    private final Buffer mBody = Buffer.buffer();
    private boolean mEnded;
    private Timer mTimer = () -> {};

    private BodyReader(
            CallerServerContext serverContext, CallerCall call, Consumer<Buffer> consumer) {
        mServerContext = serverContext;
        mCall = call;
        mRequest = call.context().request();
        mConsumer = consumer;
    }

    /** Reads the body and passes it to the consumer, or refuses the call. */
    static void read(
            CallerServerContext serverContext, CallerCall call, Consumer<Buffer> consumer) {
        new BodyReader(serverContext, call, consumer).start();
    }

    private void start() {
        long declared = declaredBytes();
        if (declared > mServerContext.settings().maxBodyBytes()) {
            discard();
            refuse(tooLarge());
            return;
        }
        var eventLoop = mServerContext.vertx().getOrCreateContext();
        var reads = new PendingReads(mServerContext.clock());
        mTimer =
                mServerContext
                        .clock()
                        .schedule(
                                mServerContext.settings().bodyTimeout(),
                                () ->
                                        eventLoop.runOnContext(
                                                ignored -> reads.thenRun(this::timedOut)));
        mCall.onDisconnect(this::abandoned);
        mRequest.exceptionHandler(ignored -> abandoned());
        mRequest.handler(this::chunkReceived);
        mRequest.endHandler(ignored -> bodyCompleted());
    }

    private long declaredBytes() {
        String length = mRequest.getHeader("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void chunkReceived(Buffer chunk) {
        if (mEnded) {
            return;
        }
        if (mBody.length() + (long) chunk.length() > mServerContext.settings().maxBodyBytes()) {
            refuse(tooLarge());
        } else if (!mCall.tryReserve(chunk.length())) {
            refuse(
                    RequestFailure.notRun(
                                    FailureCode.OVERLOADED,
                                    "the entry holds too many bytes of bodies")
                            .withField(BODY_FIELD)
                            .withRetryAfter(OVERLOADED_RETRY_AFTER));
        } else {
            mBody.appendBuffer(chunk);
        }
    }

    private void bodyCompleted() {
        if (!mEnded) {
            mEnded = true;
            mTimer.cancel();
            mConsumer.accept(mBody);
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

    private RequestFailure tooLarge() {
        return RequestFailure.notRun(
                        FailureCode.BODY_TOO_LARGE,
                        "the body exceeds " + mServerContext.settings().maxBodyBytes() + " bytes")
                .withField(BODY_FIELD);
    }

    private void refuse(RequestFailure failure) {
        mEnded = true;
        mTimer.cancel();
        mCall.refuse(failure);
        var eventLoop = mServerContext.vertx().getOrCreateContext();
        mServerContext
                .clock()
                .schedule(
                        CLOSE_DELAY, () -> eventLoop.runOnContext(ignored -> closeIfUnfinished()));
    }

    private void closeIfUnfinished() {
        if (mRequest.isEnded()) {
            return;
        }
        if (mRequest.version() == HttpVersion.HTTP_2) {
            // Other requests share the connection.
            mRequest.response().reset();
        } else {
            mRequest.connection().close();
        }
    }

    private void discard() {
        mRequest.exceptionHandler(ignored -> {});
        mRequest.handler(ignored -> {});
    }
}
