package org.tanagergap.runtime.program;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.trace.Tracing;

/**
 * Objects shared by the services of a program.
 *
 * @param vertx Vert.x instance with the event loops
 * @param clock time source
 * @param metrics metric registry of the process
 * @param tracing creates spans
 * @param adminListen address of the admin server
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
