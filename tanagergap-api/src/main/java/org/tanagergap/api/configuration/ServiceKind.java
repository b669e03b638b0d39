package org.tanagergap.api.configuration;

/** What kind of upstream serves a service. */
public enum ServiceKind {
    /** Model engines, called for completions. */
    MODEL,
    /** Plain HTTP services. */
    PLAIN
}
