package org.tanagergap.runtime.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Writes all logs of the process to standard output as lines of JSON. */
public final class StructuredLogging {

    private StructuredLogging() {}

    /** Replaces the handlers of the root logger and sets its level. */
    public static void install(String program, Level level) {
        LogManager.getLogManager().reset();
        Handler handler = new BoundedLogHandler(new FileOutputStream(FileDescriptor.out));
        handler.setFormatter(new JsonLogFormatter(program));
        handler.setLevel(level);
        Logger root = Logger.getLogger("");
        root.setLevel(level);
        root.addHandler(handler);
    }

    /**
     * Writes the queued lines and stops the writer thread; to be called before the process exits.
     */
    public static void close() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.close();
        }
    }
}
