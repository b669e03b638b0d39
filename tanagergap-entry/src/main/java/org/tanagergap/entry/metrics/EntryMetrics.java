package org.tanagergap.entry.metrics;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.runtime.metrics.MetricName;

/** Metrics of an entry. */
public final class EntryMetrics {

    private final MetricRegistry mRegistry;

    public EntryMetrics(MetricRegistry registry) {
        mRegistry = Objects.requireNonNull(registry, "registry must not be null");
    }

    /** Counts a request that ended with the code; {@code ok} if it succeeded. */
    public void requestEnded(String rank, String code) {
        mRegistry.counter(MetricName.of("requests", "rank", rank, "code", code)).inc();
    }

    /** Records the time from the arrival of a request to its first token. */
    public void firstToken(String rank, LengthBand band, Duration time) {
        String name =
                MetricName.of(
                        "first_token_seconds",
                        "rank",
                        rank,
                        "band",
                        band.name().toLowerCase(Locale.ROOT));
        mRegistry.timer(name).update(time);
    }

    /** Counts an attempt. */
    public void attemptStarted() {
        mRegistry.counter("attempts").inc();
    }

    /** Counts a retry of a request. */
    public void retried() {
        mRegistry.counter("retries").inc();
    }

    /** Counts a retry that resumes an interrupted stream. */
    public void resumed() {
        mRegistry.counter("resumes").inc();
    }

    /** Counts an attempt that reached its idle timeout. */
    public void stalled() {
        mRegistry.counter("stalls").inc();
    }

    /** Counts an event that was dropped. */
    public void eventDropped(String reason) {
        mRegistry.counter(MetricName.of("dropped_events", "reason", reason)).inc();
    }
}
