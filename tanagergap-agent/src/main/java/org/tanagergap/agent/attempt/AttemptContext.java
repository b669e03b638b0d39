package org.tanagergap.agent.attempt;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.runtime.trace.Tracing;

/**
 * Dependencies shared by all attempts of an agent.
 *
 * @param upstream name of the upstream
 * @param failureDomain failure domain of the upstream
 * @param loop executor that runs tasks one at a time; the state of attempts changes only on it
 * @param clock source of time
 * @param hints returns the current load hint for an entry that has a revision of the prefix hashes
 * @param metrics registry of the process
 * @param tracing creates spans
 */
public record AttemptContext(
        String upstream,
        String failureDomain,
        Executor loop,
        RuntimeClock clock,
        LongFunction<Hint> hints,
        MetricRegistry metrics,
        Tracing tracing) {}
