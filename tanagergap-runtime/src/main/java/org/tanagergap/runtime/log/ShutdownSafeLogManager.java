package org.tanagergap.runtime.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers during shutdown. The default log manager removes them in its
 * own shutdown hook, which loses the last lines of a graceful shutdown. Installed through the
 * system property {@code java.util.logging.manager}.
 */
public final class ShutdownSafeLogManager extends LogManager {

    @Override
    public void reset() {
        if (!isShutdownHook()) {
            super.reset();
        }
    }

    private static boolean isShutdownHook() {
        // The shutdown hook of LogManager is the only thread whose class name has this prefix.
        return Thread.currentThread().getClass().getName().startsWith(LogManager.class.getName());
    }
}
