package org.tanagergap.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.ServiceTarget;

/**
 * Request that the configuration allows.
 *
 * @param route route that it takes
 * @param service service that serves it
 * @param workspace workspace of its key
 * @param rank its rank; 0 is the most urgent
 * @param cost its tokens; zero for a plain call
 * @param lastEventId last event that the caller has
 * @param method HTTP method
 * @param uri path and query
 * @param headers all headers of the caller
 * @param body whole body
 * @param arrivalNanos monotonic time of its head
 * @param aimNanos monotonic time after which its answer is late
 * @param deadlineNanos monotonic time after which its answer is useless
 * @param configurationVersion configuration that allowed it
 */
public record GatewayRequest(
        Route route,
        ServiceTarget service,
        Optional<String> workspace,
        int rank,
        RequestCost cost,
        OptionalLong lastEventId,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Buffer body,
        long arrivalNanos,
        long targetNanos,
        long deadlineNanos,
        long configurationVersion) {}
