package org.tanagergap.ctl;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.Map;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Dependencies of the commands, which tests replace.
 *
 * @param environment environment variables
 * @param out stream for results
 * @param err stream for messages
 * @param vertx Vert.x instance for HTTP calls
 * @param clock clock and timers
 * @param storeOpener opens the configuration store
 */
record CtlContext(
        Map<String, String> environment,
        PrintStream out,
        PrintStream err,
        Vertx vertx,
        RuntimeClock clock,
        StoreOpener storeOpener) {}
