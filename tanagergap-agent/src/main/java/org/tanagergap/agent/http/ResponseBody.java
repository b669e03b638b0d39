package org.tanagergap.agent.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.runtime.http.ResponseCheck;

/** Reads the body of a response into memory. */
public final class ResponseBody {

    private ResponseBody() {}

    /**
     * Returns the complete body of a valid response; fails with {@link RequestFailure} as soon as
     * the body exceeds the limit. The caller closes the connection then.
     *
     * @param requestSent succeeds when the whole request has been written
     */
    public static Future<Buffer> read(
            HttpClientResponse response, Future<Void> requestSent, int maxBytes) {
        return read(response, requestSent, maxBytes, new SharedMemoryLimit(maxBytes));
    }

    /**
     * Returns the complete body like {@link #read(HttpClientResponse, Future, int)}; also fails if
     * the bodies that are read at the same time exceed the memory for them.
     */
    public static Future<Buffer> read(
            HttpClientResponse response,
            Future<Void> requestSent,
            int maxBytes,
            SharedMemoryLimit memory) {
        Optional<String> headFault = ResponseCheck.headFault(response);
        if (headFault.isPresent()) {
            return Future.failedFuture(headFault.get());
        }
        Promise<Buffer> bodyPromise = Promise.promise();
        SharedMemoryLimit.Share share =
                memory.open(() -> bodyPromise.tryFail(tooLarge("answers exceed their memory")));
        Buffer body = Buffer.buffer();
        response.exceptionHandler(bodyPromise::tryFail);
        response.endHandler(
                ignored ->
                        ResponseCheck.endFault(response, requestSent.succeeded())
                                .ifPresentOrElse(
                                        bodyPromise::tryFail, () -> bodyPromise.tryComplete(body)));
        response.handler(
                part -> {
                    if (bodyPromise.future().isComplete()) {
                        return;
                    }
                    if (body.length() + part.length() <= maxBytes) {
                        body.appendBuffer(part);
                        share.add(part.length());
                    } else {
                        bodyPromise.tryFail(tooLarge("answer exceeds " + maxBytes + " bytes"));
                    }
                });
        return bodyPromise.future().onComplete(ignored -> share.close());
    }

    private static RequestFailure tooLarge(String message) {
        return RequestFailure.of(FailureCode.UPSTREAM_FAILED, Execution.RAN, message);
    }
}
