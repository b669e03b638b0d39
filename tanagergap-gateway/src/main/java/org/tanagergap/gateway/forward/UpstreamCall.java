package org.tanagergap.gateway.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.gateway.wire.UpstreamResponseHead;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.runtime.http.InvalidResponseException;
import org.tanagergap.runtime.http.ResponseCheck;
import org.tanagergap.runtime.settings.HostPort;

/**
 * One request to one upstream, on a connection of its own so that a late or duplicate response
 * cannot be mistaken for that of another request. Confined to the event loop.
 */
final class UpstreamCall {

    /** TCP sends a lost SYN again only after 1 s; connecting to another upstream is faster. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** Largest response that is buffered in memory until it is complete. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    /** A buffer has up to twice the size of its contents while it grows. */
    private static final int GROWTH_FACTOR = 2;

    private static final int HTTP_OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpClient mClient;
    private final WireFormat mWire;
    private final String mRequestId;
    private final boolean mStream;
    private final boolean mRetryable;
    private final UpstreamCallListener mListener;
    private final SharedMemoryLimit.Share mMemory;
    private Buffer mBody = Buffer.buffer();
    private HttpClientRequest mRequest;
    private BodySender mSender;
    private HttpClientResponse mResponse;
    private boolean mBodySent;
    private boolean mEnded;

    /**
     * Creates a call that is not started.
     *
     * @param memory limits the response, which belongs to the listener when it is complete
     */
    UpstreamCall(
            HttpClient client,
            SharedMemoryLimit memory,
            WireFormat wire,
            String requestId,
            boolean stream,
            boolean retryable,
            UpstreamCallListener listener) {
        mClient = client;
        mMemory = memory.open(this::evicted);
        mWire = wire;
        mRequestId = requestId;
        mStream = stream;
        mRetryable = retryable;
        mListener = listener;
    }

    /** Opens the connection and sends the request. */
    void start(HostPort address, HttpMethod method, String uri, MultiMap headers, Buffer body) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI(uri)
                        .setConnectTimeout(CONNECT_TIMEOUT.toMillis())
                        .setHeaders(headers);
        mClient.request(options)
                .onSuccess(request -> connected(request, body))
                .onFailure(
                        failure ->
                                fail(
                                        CallFailure.Kind.NOT_CONNECTED,
                                        "no connection to " + address + ": " + failure));
    }

    /** Cancels the call and closes the connection to the upstream. */
    void cancel() {
        end();
        discardBody();
        reset();
    }

    /** Pauses reading from the upstream until {@link #resume()}. */
    void pause() {
        if (mResponse != null) {
            mResponse.pause();
        }
    }

    /** Resumes reading from the upstream. */
    void resume() {
        if (mResponse != null) {
            mResponse.resume();
        }
    }

    private void connected(HttpClientRequest request, Buffer body) {
        mRequest = request;
        if (mEnded) {
            reset();
            return;
        }
        request.response()
                .onSuccess(this::headReceived)
                .onFailure(failure -> connectionFailed("no answer: ", failure));
        request.exceptionHandler(failure -> connectionFailed("connection failed: ", failure));
        mListener.requestSent();
        mSender = new BodySender(request, body, this::bodySent);
        mSender.start();
    }

    private void bodySent() {
        mBodySent = true;
        if (!mEnded) {
            mListener.bodySent();
        }
    }

    private void headReceived(HttpClientResponse response) {
        response.exceptionHandler(
                failure -> fail(CallFailure.Kind.BROKEN, "answer broke off: " + failure));
        if (mEnded) {
            reset();
            return;
        }
        mResponse = response;
        Optional<String> fault = ResponseCheck.headFault(response);
        if (fault.isPresent()) {
            invalid(fault.get());
            return;
        }
        UpstreamResponseHead head =
                mWire.parseResponseHead(response.statusCode(), response.headers(), mRequestId);
        mListener.headReceived(head);
        switch (head.verdict()) {
            case NOT_RUN -> refused(CallFailure.Kind.REFUSED, head);
            case OTHER_UPSTREAM -> refused(CallFailure.Kind.OTHER_UPSTREAM, head);
            case UNUSABLE ->
                    fail(CallFailure.Kind.BROKEN, "damaged answer, status " + head.status());
            case VALID -> read(response, head);
        }
    }

    private void read(HttpClientResponse response, UpstreamResponseHead head) {
        MultiMap headers = response.headers();
        if (mStream && head.status() == HTTP_OK && isEventStream(headers)) {
            readEvents(response, head, headers);
        } else {
            readComplete(response, head, headers);
        }
    }

    private void readEvents(
            HttpClientResponse response, UpstreamResponseHead head, MultiMap headers) {
        EventSplitter splitter =
                new EventSplitter(
                        event -> {
                            if (!mEnded) {
                                mListener.event(head, headers, event);
                            }
                        });
        response.handler(
                bytes ->
                        splitter.add(bytes)
                                .ifPresent(reason -> fail(CallFailure.Kind.BROKEN, reason)));
        response.endHandler(
                ignored -> {
                    checkEnd(response);
                    if (splitter.hasPartialEvent()) {
                        fail(CallFailure.Kind.BROKEN, "the stream ended inside an event");
                    } else if (end()) {
                        mMemory.close();
                        mListener.streamEnded(head, headers);
                    }
                });
    }

    private void readComplete(
            HttpClientResponse response, UpstreamResponseHead head, MultiMap headers) {
        response.handler(
                bytes -> {
                    if (mEnded) {
                        return;
                    }
                    mBody.appendBuffer(bytes);
                    mMemory.add(GROWTH_FACTOR * bytes.length());
                    if (mBody.length() > MAX_RESPONSE_BYTES) {
                        fail(
                                CallFailure.Kind.BROKEN,
                                "the answer exceeds " + MAX_RESPONSE_BYTES + " bytes");
                    }
                });
        response.endHandler(
                ignored -> {
                    checkEnd(response);
                    if (end()) {
                        mMemory.completed();
                        mListener.responseReceived(head, headers, mBody, mMemory::close);
                    }
                });
    }

    /** Fails the call if the body of its response has ended too soon. */
    private void checkEnd(HttpClientResponse response) {
        ResponseCheck.endFault(response, mBodySent).ifPresent(this::invalid);
    }

    private static boolean isEventStream(MultiMap headers) {
        String type = headers.get(HttpHeaders.CONTENT_TYPE);
        return type != null && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    }

    /**
     * Bytes that an upstream sends before it has read the request belong to no request, and only
     * the identifier distinguishes a refusal from them.
     */
    private void refused(CallFailure.Kind kind, UpstreamResponseHead head) {
        String reason = "refused with status " + head.status();
        if (mRetryable || head.namesRequest()) {
            fail(new CallFailure(kind, reason, head.faultyUpstream()));
        } else {
            fail(CallFailure.Kind.BROKEN, reason + " without the identifier of the request");
        }
    }

    private void connectionFailed(String prefix, Throwable failure) {
        if (failure instanceof InvalidResponseException) {
            invalid(failure.getMessage());
        } else {
            fail(CallFailure.Kind.BROKEN, prefix + failure);
        }
    }

    private void invalid(String fault) {
        if (!mEnded) {
            mListener.responseInvalid(fault);
            fail(CallFailure.Kind.BROKEN, "invalid answer: " + fault);
        }
    }

    private void fail(CallFailure.Kind kind, String reason) {
        fail(new CallFailure(kind, reason));
    }

    private void fail(CallFailure failure) {
        if (end()) {
            discardBody();
            reset();
            mListener.failed(failure);
        }
    }

    private void evicted() {
        fail(CallFailure.Kind.BROKEN, "the answers of all upstreams exceed the memory for them");
    }

    private void discardBody() {
        mBody = Buffer.buffer();
        mMemory.close();
    }

    private boolean end() {
        boolean first = !mEnded;
        mEnded = true;
        if (mSender != null) {
            mSender.stop();
        }
        return first;
    }

    private void reset() {
        if (mRequest != null) {
            mRequest.reset();
        }
    }
}
