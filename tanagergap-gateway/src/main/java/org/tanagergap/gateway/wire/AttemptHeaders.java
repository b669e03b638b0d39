package org.tanagergap.gateway.wire;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Values that the gateway sets in the headers of an attempt.
 *
 * @param timeToDeadline time after which the upstream should stop
 * @param upstreamId identifier of the intended upstream
 * @param workspace workspace of the caller
 * @param rank rank of the request
 * @param lastEventId identifier of the last event that the caller has received, if a stream is
 *     resumed
 * @param helpers helper engines that prefill parts of the prompt
 */
public record AttemptHeaders(
        Duration timeToDeadline,
        String upstreamId,
        Optional<String> workspace,
        int rank,
        OptionalLong lastEventId,
        List<HelperAddress> helpers) {

    public AttemptHeaders {
        Objects.requireNonNull(timeToDeadline, "timeToDeadline must not be null");
        Objects.requireNonNull(upstreamId, "upstreamId must not be null");
        Objects.requireNonNull(workspace, "workspace must not be null");
        helpers = List.copyOf(helpers);
    }
}
