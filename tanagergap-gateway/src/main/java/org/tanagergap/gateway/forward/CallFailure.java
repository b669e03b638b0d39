package org.tanagergap.gateway.forward;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.tanagergap.api.failure.Execution;

/**
 * Why a call to an upstream has failed.
 *
 * @param kind what went wrong
 * @param reason explanation for logs and the caller
 * @param faultyAddress address of the upstream at fault, when it is not the first one
 */
record CallFailure(Kind kind, String reason, Optional<String> faultyAddress) {

    /** What went wrong. */
    enum Kind {
        /** No connection could be opened, so nothing was sent. */
        NOT_CONNECTED(Execution.NOT_RUN),
        /** The upstream refused the request without running it. */
        REFUSED(Execution.NOT_RUN),
        /** Another upstream has the address. */
        OTHER_UPSTREAM(Execution.NOT_RUN),
        /** Memory on several engines could not be reserved. */
        NOT_RESERVED(Execution.NOT_RUN),
        /** The connection broke or the answer was damaged. */
        BROKEN(Execution.UNKNOWN),
        /** Nothing arrived for too long. */
        SILENT(Execution.UNKNOWN);

        private final Execution mExecution;

        Kind(Execution execution) {
            mExecution = execution;
        }

        /** Whether the upstream has received the request, so that another attempt is a retry. */
        boolean sent() {
            return this != NOT_CONNECTED && this != NOT_RESERVED;
        }

        /** Name in log lines. */
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
