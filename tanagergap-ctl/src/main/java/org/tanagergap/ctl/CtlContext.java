package org.tanagergap.ctl;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.Map;
import org.tanagergap.api.time.RuntimeClock;

/**
 * What the commands use of their surroundings.
 *
 * @param environment environment variables
 * @param out results
 * @param err messages
 * @param vertx event loops
 * @param clock time and timers
 * @param storeOpener connects to the configuration
 */
record CtlContext(
        Map<String, String> environment,
        PrintStream out,
        PrintStream err,
        Vertx vertx,
        RuntimeClock clock,
        StoreOpener storeOpener) {}
