package org.tanagergap.gateway.wire;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.api.request.RequestCost;

/**
 * Values of a caller's headers.
 *
 * @param requestId identifier of the request, if the caller sent one
 * @param requestedTimeout time that the caller will wait
 * @param key key of the caller's workspace
 * @param cost tokens of a completion, if they are stated
 * @param sharedPromptParts identifiers of the parts of the prompt that other requests may share, in
 *     order
 * @param lastEventId identifier of the last event that the caller has received, if it resumes a
 *     stream
 */
public record GatewayCallerHeaders(
        Optional<String> requestId,
        Optional<Duration> requestedTimeout,
        Optional<String> key,
        Optional<RequestCost> cost,
        List<String> sharedPromptParts,
        OptionalLong lastEventId) {

    public GatewayCallerHeaders {
        Objects.requireNonNull(requestId, "requestId must not be null");
        Objects.requireNonNull(requestedTimeout, "requestedTimeout must not be null");
        Objects.requireNonNull(key, "key must not be null");
        Objects.requireNonNull(cost, "cost must not be null");
        sharedPromptParts = List.copyOf(sharedPromptParts);
    }
}
