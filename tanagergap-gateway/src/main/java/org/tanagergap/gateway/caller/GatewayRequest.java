package org.tanagergap.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.ServiceTarget;

/**
 * Request of a caller that the configuration allows.
 *
 * @param route route that matches it
 * @param service service that serves it
 * @param workspace workspace to which its key belongs
 * @param rank its rank; 0 is the most urgent
 * @param cost tokens of its prompt and output; zero for a plain call
 * @param sharedPromptParts identifiers of the parts of its prompt that other requests may share
 * @param lastEventId identifier of the last event that the caller has received
 * @param method HTTP method
 * @param uri path and query
 * @param headers all headers of the caller
 * @param body complete body
 * @param arrivalNanos monotonic time of its arrival
 * @param targetNanos monotonic time after which its response misses the target
 * @param deadlineNanos monotonic time by which it must be answered
 * @param configurationVersion version of the configuration that allowed it
 */
public record GatewayRequest(
        Route route,
        ServiceTarget service,
        Optional<String> workspace,
        int rank,
        RequestCost cost,
        List<String> sharedPromptParts,
        OptionalLong lastEventId,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Buffer body,
        long arrivalNanos,
        long targetNanos,
        long deadlineNanos,
        long configurationVersion) {}
