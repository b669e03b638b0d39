package org.tanagergap.entry.execution;

import io.opentelemetry.api.trace.Span;
import java.util.Objects;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.policy.PolicyStamp;

/**
 * Accepted request of a caller.
 *
 * @param id identifier of the request
 * @param service name of the service
 * @param policy scheduling properties and the configuration version that they come from
 * @param deadline time by which the request finishes or fails
 * @param payload completion or call that an upstream runs
 * @param span span of the request
 */
public record CallerRequest(
        RequestId id,
        String service,
        PolicyStamp policy,
        Deadline deadline,
        RequestPayload payload,
        Span span) {
    public CallerRequest {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(payload, "work must not be null");
    }

    /** Copy with another payload. */
    CallerRequest withPayload(RequestPayload other) {
        return new CallerRequest(id, service, policy, deadline, other, span);
    }
}
