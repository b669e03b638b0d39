package org.tanagergap.ctl;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.logging.Level;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.runtime.log.StructuredLogging;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.state.configuration.KeyValueConfigurationStore;

/** Entry point of tanagergap-ctl, the command line for operators. */
public final class CtlMain {

    private static final Duration KEY_VALUE_TIMEOUT = Duration.ofSeconds(2);

    private CtlMain() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        // Commands print their failures themselves; warnings about retries would duplicate them.
        StructuredLogging.install("tanagergap-ctl", Level.SEVERE);
        Vertx vertx = Vertx.vertx();
        CtlContext context =
                new CtlContext(
                        System.getenv(),
                        System.out,
                        System.err,
                        vertx,
                        new VertxRuntimeClock(vertx),
                        storeOpener(vertx, new VertxRuntimeClock(vertx)));
        int status = CtlProgram.run(context, args);
        System.out.flush();
        System.exit(status);
    }

    static StoreOpener storeOpener(Vertx vertx, RuntimeClock clock) {
        return address ->
                new KeyValueConfigurationStore(
                        new HttpKeyValueStore(
                                vertx, address, KEY_VALUE_TIMEOUT, new MetricRegistry()),
                        clock);
    }
}
