package org.tanagergap.runtime.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Number of descriptors that the process may open. */
public final class DescriptorLimit {

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern SOFT_LIMIT = Pattern.compile("Max open files\\s+(\\w+)");
    private static final String UNLIMITED = "unlimited";

    /** Assumed where the system does not tell; the usual limit of a session. */
    private static final int DEFAULT_DESCRIPTORS = 1024;

    private DescriptorLimit() {}

    /** Largest number of client connections: half of the soft descriptor limit. */
    public static int maxConnections() {
        return descriptors() / 2;
    }

    private static int descriptors() {
        try {
            // The management interface would add to the time of a start.
            Matcher limit = SOFT_LIMIT.matcher(Files.readString(LIMITS));
            if (!limit.find()) {
                return DEFAULT_DESCRIPTORS;
            }
            return limit.group(1).equals(UNLIMITED)
                    ? Integer.MAX_VALUE
                    : (int) Math.min(Integer.MAX_VALUE, Long.parseLong(limit.group(1)));
        } catch (IOException | NumberFormatException e) {
            return DEFAULT_DESCRIPTORS;
        }
    }
}
