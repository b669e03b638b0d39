package org.tanagergap.api.failure;

import java.util.Locale;

/** Tells whether a failed request has run on an upstream. */
public enum Execution {
    /** The request has certainly not run and never will. */
    NOT_RUN,
    /** The request has run, at least in part. */
    RAN,
    /** The request may have run. */
    UNKNOWN;

    /** Name used in error bodies. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
