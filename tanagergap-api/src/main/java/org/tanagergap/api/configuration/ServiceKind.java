package org.tanagergap.api.configuration;

/** Kind of the upstreams that serve a service. */
public enum ServiceKind {
    /** Model engines, called for completions. */
    MODEL,
    /** Plain HTTP services. */
    PLAIN
}
