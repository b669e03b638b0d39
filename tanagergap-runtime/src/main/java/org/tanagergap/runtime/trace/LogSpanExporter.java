package org.tanagergap.runtime.trace;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.Map;

/** Writes each finished span as one log line. */
final class LogSpanExporter implements SpanExporter {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_MICRO = 1_000;

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            StringBuilder attributes = new StringBuilder();
            for (Map.Entry<AttributeKey<?>, Object> a : span.getAttributes().asMap().entrySet()) {
                attributes.append(' ').append(a.getKey().getKey()).append('=').append(a.getValue());
            }
            sLogger.atInfo().log(
                    "span %s trace=%s span=%s parent=%s micros=%d status=%s%s",
                    span.getName(),
                    span.getTraceId(),
                    span.getSpanId(),
                    span.getParentSpanId(),
                    (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO,
                    span.getStatus().getStatusCode(),
                    attributes);
        }
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
