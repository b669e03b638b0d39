package org.tanagergap.agent.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;

/** Reads the body of a response into memory. */
public final class ResponseBody {

    private ResponseBody() {}

    /**
     * Returns the complete body; fails with {@link RequestFailure} as soon as the body exceeds the
     * limit. The caller closes the connection then.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
        Promise<Buffer> bodyPromise = Promise.promise();
        Buffer body = Buffer.buffer();
        response.exceptionHandler(bodyPromise::tryFail);
        response.endHandler(ignored -> bodyPromise.tryComplete(body));
        response.handler(
                part -> {
                    if (body.length() + part.length() <= maxBytes) {
                        body.appendBuffer(part);
                    } else {
                        bodyPromise.tryFail(
                                RequestFailure.of(
                                        FailureCode.UPSTREAM_FAILED,
                                        Execution.RAN,
                                        "answer exceeds " + maxBytes + " bytes"));
                    }
                });
        return bodyPromise.future();
    }
}
