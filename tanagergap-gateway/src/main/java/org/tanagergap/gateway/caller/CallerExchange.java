package org.tanagergap.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.runtime.http.ConnectionHeaders;
import org.tanagergap.runtime.http.ErrorBody;

/** A request of a caller and the response to it. Confined to the event loop. */
public final class CallerExchange {

    private static final String REQUEST_ID_HEADER = "Tanagergap-Request-Id";
    private static final double MILLIS_PER_SECOND = 1000;

    private final HttpServerRequest mRequest;
    private final HttpServerResponse mResponse;
    private final RequestId mId;
    private final Runnable mOnEnd;
    private Optional<Runnable> mOnDisconnect = Optional.empty();
    private Optional<Consumer<RequestFailure>> mOnShutdown = Optional.empty();
    private final List<Runnable> mOnRelease = new ArrayList<>();
    private boolean mEnded;
    private boolean mReleased;
    private boolean mDisconnected;
    private boolean mCloseAfterResponse;

    /**
     * Creates an exchange without a response.
     *
     * @param onEnd called once when the response is complete or the connection is closed
     */
    CallerExchange(HttpServerRequest request, RequestId id, Runnable onEnd) {
        mRequest = request;
        mResponse = request.response();
        mId = id;
        mOnEnd = onEnd;
        mResponse.closeHandler(ignored -> disconnected());
        mResponse.exceptionHandler(ignored -> disconnected());
    }

    public RequestId id() {
        return mId;
    }

    public HttpServerRequest request() {
        return mRequest;
    }

    /** Returns true if the response is complete or the caller has disconnected. */
    boolean hasEnded() {
        return mEnded;
    }

    /** Sets the action to run if the caller disconnects before the response is complete. */
    public void onDisconnect(Runnable action) {
        mOnDisconnect = Optional.of(action);
        if (mDisconnected) {
            action.run();
        }
    }

    /**
     * Ends an exchange whose response the caller has not read in time. The connection closes when
     * the rest is written or the system gives it up, and its memory is no longer counted.
     */
    public void closeUnlessWritten() {
        if (!mReleased) {
            mRequest.connection().close();
            release();
        }
    }

    /** Adds an action to run when the response is written or the connection is closed. */
    public void onRelease(Runnable action) {
        if (mReleased) {
            action.run();
        } else {
            mOnRelease.add(action);
        }
    }

    /**
     * Sets the action to run if the process is about to exit before the response is complete. It
     * receives the refusal of a request that has not run.
     */
    public void onShutdown(Consumer<RequestFailure> action) {
        mOnShutdown = Optional.of(action);
    }

    /** Ends the request, because the process is about to exit. */
    void shutDown(RequestFailure refusal) {
        closeAfterResponse();
        mOnShutdown.ifPresentOrElse(action -> action.accept(refusal), () -> sendFailure(refusal));
    }

    /** Closes the connection after the response. */
    public void closeAfterResponse() {
        mCloseAfterResponse = true;
        if (!mResponse.headWritten() && !mEnded) {
            mResponse.putHeader(HttpHeaders.CONNECTION, "close");
        }
    }

    /** Sends a complete response of an upstream. */
    public void sendResponse(int status, MultiMap headers, Buffer body) {
        if (mEnded) {
            return;
        }
        writeHead(status, headers);
        finish(body);
    }

    /** Starts a response whose events follow. */
    public void startStream(int status, MultiMap headers) {
        if (!mEnded) {
            writeHead(status, headers);
            mResponse.setChunked(true);
        }
    }

    /**
     * Sends an event.
     *
     * @return true if the write queue is full because the caller reads too slowly
     */
    public boolean sendEvent(Buffer event) {
        if (!mEnded) {
            mResponse.write(event);
        }
        return mResponse.writeQueueFull();
    }

    /** Sets the action to run when the write queue has room for more events. */
    public void onDrain(Runnable action) {
        mResponse.drainHandler(ignored -> action.run());
    }

    /** Completes a stream. */
    public void endStream() {
        finish(Buffer.buffer());
    }

    /**
     * Closes the connection in the middle of a response, so that the caller sees it as incomplete.
     */
    public void abort() {
        if (!mEnded) {
            mEnded = true;
            mRequest.connection().close();
            mOnEnd.run();
            release();
        }
    }

    /**
     * Ends a request whose handling has failed: with the failure, or in the middle of a response.
     */
    void handlingFailed(RequestFailure failure) {
        if (mEnded) {
            return;
        }
        mOnDisconnect.ifPresent(Runnable::run);
        if (mResponse.headWritten()) {
            abort();
        } else {
            sendFailure(failure);
        }
    }

    /** Sends an error response of the gateway itself. */
    public void sendFailure(RequestFailure failure) {
        if (mEnded) {
            return;
        }
        mResponse.setStatusCode(failure.code().httpStatus());
        mResponse.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        mResponse.putHeader(REQUEST_ID_HEADER, mId.value());
        failure.retryAfter()
                .ifPresent(
                        after ->
                                mResponse.putHeader(
                                        HttpHeaders.RETRY_AFTER,
                                        String.format(
                                                Locale.ROOT,
                                                "%.3f",
                                                after.toMillis() / MILLIS_PER_SECOND)));
        finish(ErrorBody.of(failure, mId).toBuffer());
    }

    private void writeHead(int status, MultiMap headers) {
        mResponse.setStatusCode(status);
        mResponse.headers().addAll(ConnectionHeaders.without(headers));
        if (mCloseAfterResponse) {
            mResponse.putHeader(HttpHeaders.CONNECTION, "close");
        }
    }

    private void finish(Buffer lastBytes) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mResponse
                .end(lastBytes)
                .onComplete(
                        ignored -> {
                            if (mCloseAfterResponse) {
                                mRequest.connection().close();
                            }
                            release();
                        });
        mOnEnd.run();
    }

    private void disconnected() {
        if (!mEnded) {
            mDisconnected = true;
            mEnded = true;
            mOnDisconnect.ifPresent(Runnable::run);
            mOnEnd.run();
        }
        release();
    }

    private void release() {
        if (!mReleased) {
            mReleased = true;
            mOnRelease.forEach(Runnable::run);
        }
    }
}
