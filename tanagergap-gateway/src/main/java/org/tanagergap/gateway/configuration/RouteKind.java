package org.tanagergap.gateway.configuration;

/** Kind of the requests of a route, which decides whether they may run more than once. */
public enum RouteKind {
    /** Plain calls that may run more than once. */
    IDEMPOTENT,
    /** Plain calls that must run at most once. */
    NON_IDEMPOTENT,
    /** Completions, whose response is a stream of events. */
    STREAM
}
