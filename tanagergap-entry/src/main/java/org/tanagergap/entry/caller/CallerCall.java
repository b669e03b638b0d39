package org.tanagergap.entry.caller;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.entry.execution.AttemptLogRecord;
import org.tanagergap.entry.execution.CallerRequest;
import org.tanagergap.entry.execution.RequestPayload;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.runtime.http.ErrorBody;

/** One call on the caller port, from its headers to its end. Confined to one event loop. */
final class CallerCall {

    private static final String NO_RANK = "none";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final CallerServerContext mServerContext;
    private final RoutingContext mContext;
    private final RequestId mId;
    private final Span mSpan;
    private final long mStartNanos;
    private final RequestLog mLog;
    private CallerPolicy mPolicy;
    private long mReservedBytes;
    private Runnable mDisconnectTask = () -> {};
    private Runnable mEndTask = () -> {};
    private boolean mDisconnected;
    private boolean mEnded;

    CallerCall(
            CallerServerContext serverContext,
            RoutingContext context,
            RequestId id,
            String entry,
            Span span) {
        mServerContext = serverContext;
        mContext = context;
        mId = id;
        mSpan = span;
        mStartNanos = serverContext.clock().nanoTime();
        mLog = new RequestLog(id, entry);
        mSpan.setAttribute("request_id", id.value());
        response().putHeader(CallerHeaders.REQUEST_ID, id.value());
        response().closeHandler(ignored -> connectionClosed());
        response().exceptionHandler(ignored -> connectionClosed());
    }

    RoutingContext context() {
        return mContext;
    }

    HttpServerResponse response() {
        return mContext.response();
    }

    RequestId id() {
        return mId;
    }

    boolean isDisconnected() {
        return mDisconnected;
    }

    boolean hasEnded() {
        return mEnded;
    }

    CallerPolicy policy() {
        return mPolicy;
    }

    void selectPolicy(CallerPolicy policy) {
        mPolicy = policy;
        mLog.policy(policy);
        mSpan.setAttribute("workspace", policy.workspace().name());
        mSpan.setAttribute("rank", policy.rank().name());
    }

    /** Creates the request for the executor and records it for the log line. */
    CallerRequest request(String service, RequestPayload payload) {
        CallerRequest request =
                new CallerRequest(
                        mId, service, mPolicy.stamp(), mPolicy.deadline(), payload, mSpan);
        mLog.request(request);
        return request;
    }

    /** Counts bytes of the body as in flight until the call ends; returns false over the limit. */
    boolean tryReserve(long bytes) {
        if (!mServerContext.bytesInFlight().tryReserve(bytes)) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    /** Sets the task that runs if the caller disconnects before the call ends. */
    void onDisconnect(Runnable task) {
        mDisconnectTask = task;
        if (mDisconnected) {
            task.run();
        }
    }

    /** Sets the task that runs when the call ends. */
    void onEnd(Runnable task) {
        mEndTask = task;
    }

    void attemptStarted(AttemptLogRecord logRecord) {
        mLog.attempt(logRecord);
    }

    /** Names the upstream in the response headers, unless they have been sent. */
    void admitted(Admitted admitted) {
        if (mEnded || mDisconnected || response().headWritten()) {
            return;
        }
        setHeader(CallerHeaders.UPSTREAM, admitted.getUpstream());
        setHeader(CallerHeaders.FAILURE_DOMAIN, admitted.getFailureDomain());
    }

    void firstToken(LengthBand band) {
        Duration time = Duration.ofNanos(mServerContext.clock().nanoTime() - mStartNanos);
        mServerContext.metrics().firstToken(rank(), band, time);
        mLog.firstToken(time.toMillis());
        mSpan.addEvent("first_token");
    }

    /** Ends the call after a complete response. */
    void succeeded() {
        if (!mEnded) {
            mLog.succeeded("ok", elapsedMillis());
        }
        end("ok", StatusCode.OK);
    }

    /** Ends the call with an error response; the response headers must not have been sent. */
    void refuse(RequestFailure failure) {
        if (mEnded) {
            return;
        }
        if (!mDisconnected) {
            HttpServerResponse response = response();
            response.setStatusCode(failure.code().httpStatus());
            failure.retryAfter()
                    .map(after -> Math.max(1, after.toMillis() / MILLIS_PER_SECOND))
                    .ifPresent(after -> response.putHeader("Retry-After", Long.toString(after)));
            response.putHeader("Content-Type", "application/json");
            response.end(ErrorBody.of(failure, mId).toBuffer());
        }
        failed(failure);
    }

    /** Ends the call after its error response has been sent. */
    void failed(RequestFailure failure) {
        if (mEnded) {
            return;
        }
        mLog.failed(failure, elapsedMillis());
        end(failure.code().wireName(), StatusCode.ERROR);
    }

    /** Ends the call of a caller that has disconnected. */
    void abandoned() {
        if (!mEnded) {
            mLog.abandoned("caller_disconnected", elapsedMillis());
        }
        end("caller_disconnected", StatusCode.ERROR);
    }

    private void connectionClosed() {
        if (!mEnded && !mDisconnected) {
            mDisconnected = true;
            mDisconnectTask.run();
        }
    }

    private void end(String code, StatusCode status) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mEndTask.run();
        mServerContext.bytesInFlight().release(mReservedBytes);
        mServerContext.metrics().requestEnded(rank(), code);
        mSpan.setAttribute("code", code);
        mSpan.setStatus(status);
        mSpan.end();
        mServerContext.requestsInFlight().end();
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mServerContext.clock().nanoTime() - mStartNanos);
    }

    private void setHeader(String name, String value) {
        // Agents of an earlier version do not set these fields.
        if (!value.isEmpty()) {
            response().putHeader(name, value);
        }
    }

    private String rank() {
        return mPolicy == null ? NO_RANK : mPolicy.rank().name();
    }
}
