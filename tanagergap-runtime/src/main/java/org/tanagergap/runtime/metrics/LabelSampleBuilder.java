package org.tanagergap.runtime.metrics;

import io.prometheus.client.Collector.MetricFamilySamples.Sample;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;
import java.util.ArrayList;
import java.util.List;

/** Converts the labels in names built by {@link MetricName} to Prometheus labels. */
final class LabelSampleBuilder implements SampleBuilder {

    private static final String PREFIX = "tanagergap_";

    @Override
    public Sample createSample(
            String dropwizardName,
            String nameSuffix,
            List<String> additionalLabelNames,
            List<String> additionalLabelValues,
            double value) {
        List<String> names = new ArrayList<>(additionalLabelNames);
        List<String> values = new ArrayList<>(additionalLabelValues);
        int brace = dropwizardName.indexOf('{');
        String base = brace < 0 ? dropwizardName : dropwizardName.substring(0, brace);
        if (brace >= 0) {
            String labels = dropwizardName.substring(brace + 1, dropwizardName.length() - 1);
            for (String label : labels.split(",")) {
                int equals = label.indexOf('=');
                names.add(label.substring(0, equals));
                values.add(label.substring(equals + 1));
            }
        }
        String suffix = nameSuffix == null ? "" : nameSuffix;
        return new Sample(PREFIX + sanitize(base + suffix), names, values, value);
    }

    private static String sanitize(String name) {
        return name.replaceAll("[^a-zA-Z0-9_]", "_");
    }
}
