package org.tanagergap.gateway.forward;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.tanagergap.api.failure.Execution;

/**
 * Failure of a call to an upstream.
 *
 * @param kind kind of the failure
 * @param reason explanation for logs and the caller
 * @param faultyAddress address of the upstream at fault, if it is not the one that was called
 */
record CallFailure(Kind kind, String reason, Optional<String> faultyAddress) {

    /** Kind of a failure. */
    enum Kind {
        /** No connection could be opened, so nothing was sent. */
        NOT_CONNECTED(Execution.NOT_RUN),
        /** The upstream or a helper engine left before the request was sent. */
        UPSTREAM_LEFT(Execution.NOT_RUN),
        /** The upstream refused the request without running it. */
        REFUSED(Execution.NOT_RUN),
        /** The address now belongs to another upstream. */
        OTHER_UPSTREAM(Execution.NOT_RUN),
        /** Memory on a helper engine could not be reserved. */
        NOT_RESERVED(Execution.NOT_RUN),
        /** The connection failed or the response was malformed. */
        BROKEN(Execution.UNKNOWN);

        private final Execution mExecution;

        Kind(Execution execution) {
            mExecution = execution;
        }

        /**
         * Returns true if the upstream may have received the request, so that another attempt is a
         * retry.
         */
        boolean sent() {
            return switch (this) {
                case NOT_CONNECTED, UPSTREAM_LEFT, NOT_RESERVED -> false;
                case REFUSED, OTHER_UPSTREAM, BROKEN -> true;
            };
        }

        /** Returns the name that log lines contain. */
        String code() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    CallFailure(Kind kind, String reason) {
        this(kind, reason, Optional.empty());
    }

    CallFailure {
        Objects.requireNonNull(kind, "kind must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
    }

    Execution execution() {
        return kind.mExecution;
    }
}
