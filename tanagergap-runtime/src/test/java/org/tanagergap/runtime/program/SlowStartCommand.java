package org.tanagergap.runtime.program;

import io.vertx.core.internal.VertxInternal;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.settings.SettingsReader;

/** Program whose service accepts work before its start is complete. */
public final class SlowStartCommand extends ProgramCommand {

    static final String STARTING = "service starting";
    static final String STOPPED = "service stopped";
    static final String FAILS = "test.start.fails";

    /** System property that lets the event loops end, as they do by an error. */
    static final String LOOPS_END = "loopsEnd";

    private static final long START_MILLIS = 1000;

    public static void main(String[] args) {
        ProgramRunner.run(SlowStartCommand.class, args);
    }

    @Override
    protected String programName() {
        return "slow-start";
    }

    @Override
    protected void readSettings(SettingsReader reader) {}

    @Override
    protected Service createService(ProgramContext context) {
        return new Service() {

            @Override
            public CompletableFuture<Void> start() {
                System.out.println(STARTING);
                if (Boolean.getBoolean(LOOPS_END)) {
                    VertxInternal vertx = (VertxInternal) context.vertx();
                    vertx.nettyEventLoopGroup().shutdownGracefully(0, 0, TimeUnit.SECONDS);
                }
                return CompletableFuture.runAsync(
                        () -> {
                            if (Boolean.getBoolean(FAILS)) {
                                throw new IllegalStateException("the port is in use");
                            }
                        },
                        CompletableFuture.delayedExecutor(START_MILLIS, TimeUnit.MILLISECONDS));
            }

            @Override
            public CompletableFuture<Void> stop() {
                System.out.println(STOPPED);
                return CompletableFuture.completedFuture(null);
            }
        };
    }
}
