package org.tanagergap.runtime.http;

import io.vertx.core.json.JsonObject;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.RequestId;

/** Creates the JSON body that all error responses share. */
public final class ErrorBody {

    private ErrorBody() {}

    /** Creates the body of the response to a failed request. */
    public static JsonObject of(RequestFailure failure, RequestId id) {
        JsonObject error =
                new JsonObject()
                        .put("code", failure.code().wireName())
                        .put("message", failure.getMessage());
        failure.field().ifPresent(field -> error.put("field", field));
        error.put("execution", failure.execution().wireName());
        failure.retryAfter().ifPresent(after -> error.put("retry_after_ms", after.toMillis()));
        error.put("request_id", id.value());
        return new JsonObject().put("error", error);
    }
}
