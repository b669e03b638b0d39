package org.tanagergap.runtime.trace;

/** Destination of finished spans. */
public enum TraceOutput {
    NONE,
    /** One log line for each span. */
    LOG,
    /** OpenTelemetry protocol over HTTP. */
    OTLP
}
