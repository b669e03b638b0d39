package org.tanagergap.gateway.wire;

import java.util.Objects;
import java.util.Optional;

/**
 * What the head of an upstream's answer says.
 *
 * @param status HTTP status
 * @param verdict what the answer means for the request
 * @param faultyUpstream address of the upstream at fault, when the answer names one
 */
public record UpstreamResponseHead(int status, Verdict verdict, Optional<String> faultyUpstream) {

    /** Meaning of an answer. */
    public enum Verdict {
        /** The upstream ran the request; status, headers and body belong to the caller. */
        VALID,
        /** The upstream did not run the request and never will. */
        NOT_RUN,
        /** Another upstream has the address; the request has not run. */
        OTHER_UPSTREAM,
        /** The answer belongs to another request, or it is damaged; the request may have run. */
        UNUSABLE
    }

    public UpstreamResponseHead {
        Objects.requireNonNull(verdict, "verdict must not be null");
        Objects.requireNonNull(faultyUpstream, "faultyUpstream must not be null");
    }
}
