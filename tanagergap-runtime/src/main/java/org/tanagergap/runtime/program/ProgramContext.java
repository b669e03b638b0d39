package org.tanagergap.runtime.program;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.trace.Tracing;

/**
 * What a program's services share.
 *
 * @param vertx event loops
 * @param clock source of time
 * @param metrics registry of the process
 * @param tracing creates spans
 * @param adminListen address of the operators' endpoints
 */
public record ProgramContext(
        Vertx vertx,
        RuntimeClock clock,
        MetricRegistry metrics,
        Tracing tracing,
        HostPort adminListen) {

    ProgramContext(Vertx vertx, HostPort adminListen, Tracing tracing) {
        this(vertx, new VertxRuntimeClock(vertx), new MetricRegistry(), tracing, adminListen);
    }
}
