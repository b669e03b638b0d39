package org.tanagergap.runtime.trace;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.TracerProvider;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Creates spans and propagates their context between processes as W3C trace context. */
public final class Tracing implements AutoCloseable {

    private static final String INSTRUMENTATION = "org.tanagergap";
    private static final String TRACEPARENT = "traceparent";
    private static final long FLUSH_SECONDS = 2;
    private static final TextMapGetter<Map<String, String>> sGetter = new MapGetter();

    /** Empty if no spans are recorded, so that the SDK is not loaded. */
    private final Optional<SdkTracerProvider> mProvider;

    private final Tracer mTracer;
    private final W3CTraceContextPropagator mPropagator = W3CTraceContextPropagator.getInstance();

    /**
     * Creates the tracer of a program.
     *
     * @param program name of the program, recorded as {@code service.name}
     * @param output destination of finished spans
     * @param endpoint URL of the collector, for {@link TraceOutput#OTLP}
     */
    public Tracing(String program, TraceOutput output, Optional<String> endpoint) {
        mProvider =
                output == TraceOutput.NONE
                        ? Optional.empty()
                        : Optional.of(provider(program, exporter(output, endpoint)));
        mTracer =
                mProvider
                        .map(p -> p.get(INSTRUMENTATION))
                        .orElseGet(() -> TracerProvider.noop().get(INSTRUMENTATION));
    }

    private static SdkTracerProvider provider(String program, SpanExporter exporter) {
        Attributes attributes = Attributes.of(AttributeKey.stringKey("service.name"), program);
        return SdkTracerProvider.builder()
                .setResource(Resource.create(attributes))
                .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                .build();
    }

    /** Starts a span under the given remote parent, or a new trace if there is none. */
    public Span start(String name, SpanKind kind, Optional<String> traceparent) {
        Context parent =
                traceparent
                        .filter(value -> !value.isEmpty())
                        .map(value -> extract(value))
                        .orElse(Context.root());
        return mTracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /** Starts a span under another span of this process. */
    public Span startChild(String name, SpanKind kind, Span parent) {
        return mTracer.spanBuilder(name)
                .setSpanKind(kind)
                .setParent(Context.root().with(parent))
                .startSpan();
    }

    /** Returns the {@code traceparent} header for requests made within the span. */
    public String traceparent(Span span) {
        Map<String, String> carrier = new HashMap<>();
        mPropagator.inject(Context.root().with(span), carrier, Map::put);
        return carrier.getOrDefault(TRACEPARENT, "");
    }

    /** Exports the remaining spans and shuts down the exporter. */
    @Override
    public void close() {
        mProvider.ifPresent(p -> p.shutdown().join(FLUSH_SECONDS, TimeUnit.SECONDS));
    }

    private Context extract(String traceparent) {
        return mPropagator.extract(Context.root(), Map.of(TRACEPARENT, traceparent), sGetter);
    }

    private static SpanExporter exporter(TraceOutput output, Optional<String> endpoint) {
        if (output == TraceOutput.LOG) {
            return new LogSpanExporter();
        }
        var builder = OtlpHttpSpanExporter.builder();
        endpoint.ifPresent(builder::setEndpoint);
        return builder.build();
    }

    private static final class MapGetter implements TextMapGetter<Map<String, String>> {

        @Override
        public Iterable<String> keys(Map<String, String> carrier) {
            return List.copyOf(carrier.keySet());
        }

        @Override
        public String get(Map<String, String> carrier, String key) {
            return carrier == null ? null : carrier.get(key);
        }
    }
}
