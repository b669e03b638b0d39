package org.tanagergap.runtime.program;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.http.AcceptedConnections;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.trace.Tracing;

/**
 * Objects shared by the services of a program.
 *
 * @param vertx Vert.x instance with the event loops
 * @param clock time source
 * @param metrics metric registry of the process
 * @param tracing creates spans
 * @param adminListen address of the admin server
 * @param accepted connections that the servers of {@code vertx} have accepted
 */
public record ProgramContext(
        Vertx vertx,
        RuntimeClock clock,
        MetricRegistry metrics,
        Tracing tracing,
        HostPort adminListen,
        AcceptedConnections accepted) {

    /** Creates a context whose accepted connections are not counted. */
    public ProgramContext(
            Vertx vertx,
            RuntimeClock clock,
            MetricRegistry metrics,
            Tracing tracing,
            HostPort adminListen) {
        this(vertx, clock, metrics, tracing, adminListen, new AcceptedConnections());
    }
}
