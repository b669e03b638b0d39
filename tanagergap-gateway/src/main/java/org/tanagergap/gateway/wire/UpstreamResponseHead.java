package org.tanagergap.gateway.wire;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.tanagergap.decisions.ratelimit.RateLimitNotice;

/**
 * Interpretation of the head of an upstream's response.
 *
 * @param status HTTP status
 * @param verdict meaning of the response for the request
 * @param namesRequest whether the response names the request that it belongs to
 * @param faultyUpstream address of the upstream at fault, if the response names one
 * @param rateLimit what the response says about the rate limit of the upstream
 * @param coldRemaining time for which the upstream stays cold, if the response says so
 */
public record UpstreamResponseHead(
        int status,
        Verdict verdict,
        boolean namesRequest,
        Optional<String> faultyUpstream,
        RateLimitNotice rateLimit,
        Optional<Duration> coldRemaining) {

    /** Meaning of a response for the request. */
    public enum Verdict {
        /** The upstream ran the request; status, headers and body belong to the caller. */
        VALID,
        /** The upstream did not run the request and never will. */
        NOT_RUN,
        /** The address now belongs to another upstream; the request has not run. */
        OTHER_UPSTREAM,
        /** The response belongs to another request or is malformed; the request may have run. */
        UNUSABLE
    }

    public UpstreamResponseHead {
        Objects.requireNonNull(verdict, "verdict must not be null");
        Objects.requireNonNull(faultyUpstream, "faultyUpstream must not be null");
        Objects.requireNonNull(rateLimit, "rateLimit must not be null");
        Objects.requireNonNull(coldRemaining, "coldRemaining must not be null");
    }
}
