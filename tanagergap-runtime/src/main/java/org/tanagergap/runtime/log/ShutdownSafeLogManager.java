package org.tanagergap.runtime.log;

import java.util.logging.LogManager;

/**
 * Keeps the handlers while the process ends. The default manager removes them in a shutdown hook of
 * its own, so that the last lines of a graceful shutdown would be lost. Named by the system
 * property {@code java.util.logging.manager}.
 */
public final class ShutdownSafeLogManager extends LogManager {

    @Override
    public void reset() {
        if (!isShutdownHook()) {
            super.reset();
        }
    }

    private static boolean isShutdownHook() {
        // The hook of the log manager is the only caller on a thread of this type.
        return Thread.currentThread().getClass().getName().startsWith(LogManager.class.getName());
    }
}
