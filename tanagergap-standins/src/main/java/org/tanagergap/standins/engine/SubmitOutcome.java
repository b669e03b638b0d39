package org.tanagergap.standins.engine;

/** Result of submitting a request to an engine. */
public enum SubmitOutcome {
    ACCEPTED,
    /** A run with the same identifier exists. */
    DUPLICATE,
    /** Too many requests wait for memory. */
    QUEUE_FULL,
    /** The request needs more memory than the engine has. */
    TOO_LARGE
}
