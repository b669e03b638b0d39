package org.tanagergap.agent.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.memory.SharedMemoryLimit;

/** Reads the body of a response into memory. */
public final class ResponseBody {

    private ResponseBody() {}

    /**
     * Returns the complete body; fails with {@link RequestFailure} as soon as the body exceeds the
     * limit. The caller closes the connection then.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
        return read(response, maxBytes, new SharedMemoryLimit(maxBytes));
    }

    /**
     * Returns the complete body like {@link #read(HttpClientResponse, int)}; also fails if the
     * bodies that are read at the same time exceed the memory for them.
     */
    public static Future<Buffer> read(
            HttpClientResponse response, int maxBytes, SharedMemoryLimit memory) {
        Promise<Buffer> bodyPromise = Promise.promise();
        SharedMemoryLimit.Share share =
                memory.open(() -> bodyPromise.tryFail(tooLarge("answers exceed their memory")));
        Buffer body = Buffer.buffer();
        response.exceptionHandler(bodyPromise::tryFail);
        response.endHandler(ignored -> bodyPromise.tryComplete(body));
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
