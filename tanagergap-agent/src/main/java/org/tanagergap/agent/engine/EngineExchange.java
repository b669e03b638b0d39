package org.tanagergap.agent.engine;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tanagergap.agent.http.ResponseBody;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.runtime.http.ResponseCheck;

/** One HTTP exchange with an engine whose connection can be closed at any time. */
final class EngineExchange {

    private static final int OK = 200;
    private static final String DATA_PREFIX = "data:";
    private static final String END_OF_STREAM = "[DONE]";

    /** Far above the size of a token or a cache event. */
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    /** Far above the size of a description of a segment or of an error. */
    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private final HttpClient mClient;
    private final RequestOptions mOptions;
    private final Buffer mBody;
    private HttpClientRequest mRequest;
    private HttpClientResponse mResponse;
    private Future<Void> mSent = Future.failedFuture("not sent");
    private boolean mPaused;
    private boolean mClosed;
    private boolean mComplete;
    private boolean mFailed;

    EngineExchange(HttpClient client, RequestOptions options, Buffer body) {
        mClient = client;
        mOptions = options;
        mBody = body;
    }

    /** Sends the request and passes on the data of each server-sent event. */
    void readEvents(Consumer<String> data, Runnable end, Consumer<Throwable> failed) {
        Consumer<Throwable> once = once(failed);
        send(response -> parseEvents(response, data, end, once), once);
    }

    /** Sends the request and passes on the complete body of the response. */
    void readBody(Consumer<Buffer> onResponse, Consumer<Throwable> failed) {
        Consumer<Throwable> once = once(failed);
        send(
                response ->
                        ResponseBody.read(response, mSent, MAX_BODY_BYTES)
                                .onSuccess(
                                        body -> {
                                            markComplete();
                                            reportException(() -> onResponse.accept(body), once);
                                        })
                                .onFailure(failure -> once.accept(connectionFailure(failure))),
                once);
    }

    /** Closes the connection unless the response is complete; this cancels the engine's work. */
    synchronized void close() {
        mClosed = true;
        if (mRequest != null && !mComplete) {
            mRequest.reset();
        }
    }

    /**
     * Stops reading the response if the condition is true, which applies back-pressure to the
     * engine.
     */
    synchronized void pauseIf(BooleanSupplier condition) {
        if (mResponse != null && !mPaused && condition.getAsBoolean()) {
            mPaused = true;
            mResponse.pause();
        }
    }

    /** Continues to read the response. */
    synchronized void resume() {
        if (mPaused) {
            mPaused = false;
            mResponse.resume();
        }
    }

    /** Marks the response as complete, so that {@link #close} has nothing left to cancel. */
    private synchronized void markComplete() {
        mComplete = true;
    }

    private void send(Consumer<HttpClientResponse> onResponse, Consumer<Throwable> failed) {
        mClient.request(mOptions)
                .onFailure(
                        failure ->
                                failed.accept(
                                        RequestFailure.notRun(
                                                        FailureCode.UPSTREAM_FAILED,
                                                        "engine is unreachable: "
                                                                + failure.getMessage())
                                                .withCause(failure)))
                .onSuccess(request -> sendRequest(request, onResponse, failed));
    }

    private void sendRequest(
            HttpClientRequest request,
            Consumer<HttpClientResponse> onResponse,
            Consumer<Throwable> failed) {
        synchronized (this) {
            mRequest = request;
            if (mClosed) {
                request.reset();
                return;
            }
        }
        mSent = request.end(mBody);
        request.response()
                .onFailure(failure -> failed.accept(connectionFailure(failure)))
                .onSuccess(
                        response -> {
                            if (response.statusCode() == OK) {
                                onResponse.accept(response);
                            } else {
                                readErrorResponse(response, failed);
                            }
                        });
    }

    private void readErrorResponse(HttpClientResponse response, Consumer<Throwable> failed) {
        ResponseBody.read(response, mSent, MAX_BODY_BYTES)
                .onSuccess(
                        body -> {
                            markComplete();
                            failed.accept(
                                    EngineMessages.failureOf(
                                            response.statusCode(),
                                            body,
                                            Optional.ofNullable(
                                                    response.getHeader(HttpHeaders.RETRY_AFTER))));
                        })
                .onFailure(failure -> failed.accept(connectionFailure(failure)));
    }

    private void parseEvents(
            HttpClientResponse response,
            Consumer<String> data,
            Runnable end,
            Consumer<Throwable> failed) {
        Optional<String> headFault = ResponseCheck.headFault(response);
        if (headFault.isPresent()) {
            failed.accept(invalidResponse(headFault.get()));
            return;
        }
        synchronized (this) {
            mResponse = response;
        }
        RecordParser lines = RecordParser.newDelimited("\n").maxRecordSize(MAX_LINE_BYTES);
        lines.exceptionHandler(failure -> failed.accept(connectionFailure(failure)));
        lines.handler(line -> reportException(() -> parseLine(line.toString(), data), failed));
        response.exceptionHandler(failure -> failed.accept(connectionFailure(failure)));
        response.endHandler(
                ignored -> {
                    Optional<String> endFault = ResponseCheck.endFault(response, mSent.succeeded());
                    if (endFault.isPresent()) {
                        failed.accept(invalidResponse(endFault.get()));
                    } else {
                        markComplete();
                        end.run();
                    }
                });
        response.handler(lines);
    }

    private static void parseLine(String line, Consumer<String> data) {
        if (line.startsWith(DATA_PREFIX)) {
            String value = line.substring(DATA_PREFIX.length()).strip();
            if (!value.equals(END_OF_STREAM)) {
                data.accept(value);
            }
        }
    }

    /**
     * Passes on only the first failure. A broken connection is reported by the request and by the
     * response, and again when it is reset.
     */
    private Consumer<Throwable> once(Consumer<Throwable> failed) {
        return failure -> {
            synchronized (this) {
                if (mClosed || mFailed) {
                    return;
                }
                mFailed = true;
            }
            failed.accept(failure);
        };
    }

    private static void reportException(Runnable task, Consumer<Throwable> failed) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failed.accept(connectionFailure(e));
        }
    }

    private static RequestFailure invalidResponse(String fault) {
        return RequestFailure.of(
                FailureCode.UPSTREAM_FAILED,
                Execution.UNKNOWN,
                "response of the engine is invalid: " + fault);
    }

    private static RequestFailure connectionFailure(Throwable failure) {
        return RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        Execution.UNKNOWN,
                        "engine connection failed: " + failure.getMessage())
                .withCause(failure);
    }
}
