package org.tanagergap.runtime.metrics;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.Collector.MetricFamilySamples;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Renders a metric registry in the Prometheus text format. */
public final class MetricsText {

    public static final String CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

    private final CollectorRegistry mCollectors = new CollectorRegistry();

    public MetricsText(MetricRegistry registry) {
        mCollectors.register(new DropwizardExports(registry, new LabelSampleBuilder()));
    }

    /** Renders the current values of all metrics. */
    public String render() {
        Map<String, MetricFamilySamples> families = new LinkedHashMap<>();
        for (MetricFamilySamples family : Collections.list(mCollectors.metricFamilySamples())) {
            families.merge(family.name, family, MetricsText::merge);
        }
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, Collections.enumeration(families.values()));
        } catch (IOException e) {
            throw new UncheckedIOException("metrics could not be written", e);
        }
        return text.toString();
    }

    // Dropwizard names contain the labels, so each label set arrives as a separate family.
    private static MetricFamilySamples merge(MetricFamilySamples a, MetricFamilySamples b) {
        List<MetricFamilySamples.Sample> samples = new ArrayList<>(a.samples);
        samples.addAll(b.samples);
        return new MetricFamilySamples(a.name, a.type, a.help, samples);
    }
}
