package org.tanagergap.gateway.configuration;

/** What the requests of a route are and whether they may run more than once. */
public enum RouteKind {
    /** Plain calls that may run more than once. */
    IDEMPOTENT,
    /** Plain calls that must run at most once. */
    NON_IDEMPOTENT,
    /** Completions, answered as a stream of events. */
    STREAM
}
