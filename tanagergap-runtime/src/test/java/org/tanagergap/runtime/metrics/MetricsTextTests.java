package org.tanagergap.runtime.metrics;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

/** Guards against metrics that Prometheus cannot parse. */
class MetricsTextTests {

    private final MetricRegistry mRegistry = new MetricRegistry();

    @Test
    void writesLabelsInThePrometheusFormat() {
        mRegistry.counter(MetricName.of("requests_finished", "rank", "urgent")).inc(3);
        mRegistry.counter(MetricName.of("requests_finished", "rank", "batch")).inc();

        String text = new MetricsText(mRegistry).render();

        assertThat(text).contains("tanagergap_requests_finished{rank=\"urgent\",} 3.0");
        assertThat(text).contains("tanagergap_requests_finished{rank=\"batch\",} 1.0");
    }

    @Test
    void declaresEachFamilyOnce() {
        mRegistry.counter(MetricName.of("refused", "code", "overloaded")).inc();
        mRegistry.counter(MetricName.of("refused", "code", "forbidden")).inc();

        String text = new MetricsText(mRegistry).render();

        assertThat(text.split("# TYPE tanagergap_refused ")).hasLength(2);
    }
}
