package org.tanagergap.runtime.trace;

/** Where finished spans go. */
public enum TraceOutput {
    NONE,
    /** One log line for each span. */
    LOG,
    /** OpenTelemetry protocol over HTTP. */
    OTLP
}
