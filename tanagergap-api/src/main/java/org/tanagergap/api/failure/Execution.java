package org.tanagergap.api.failure;

import java.util.Locale;

/** Execution state of a failed request at its upstream. */
public enum Execution {
    /** The request has certainly not run and never will. */
    NOT_RUN,
    /** The request has run, at least in part. */
    RAN,
    /** The request may have run. */
    UNKNOWN;

    /** Returns the name used in error bodies. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
