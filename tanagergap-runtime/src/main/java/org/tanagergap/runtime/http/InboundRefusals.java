package org.tanagergap.runtime.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagergap.runtime.metrics.MetricName;

/** Counts and logs the connections of clients that are refused or closed. Thread-safe. */
final class InboundRefusals {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Map<InboundRefusal, Counter> mCounters = new EnumMap<>(InboundRefusal.class);

    InboundRefusals(MetricRegistry metrics) {
        // A class cannot be loaded from its file when all descriptors are in use.
        for (InboundRefusal refusal : InboundRefusal.values()) {
            String name = MetricName.of("inbound_refusals", "reason", refusal.label());
            mCounters.put(refusal, metrics.counter(name));
        }
    }

    void add(InboundRefusal refusal) {
        Counter counter = mCounters.get(refusal);
        counter.inc();
        sLogger.atInfo()
                .per(refusal)
                .atMostEvery(1, TimeUnit.SECONDS)
                .log(
                        "connection of a client refused: %s; %d so far",
                        refusal.label(), counter.getCount());
    }
}
