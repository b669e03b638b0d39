package org.tanagergap.endtoend;

import java.util.List;

/**
 * Limits of a process that are lower than those of deployments.
 *
 * @param heapMegabytes largest heap, of which an eighth is for new objects
 * @param maxDescriptors number of descriptors that the process may open
 */
record ProcessLimits(int heapMegabytes, int maxDescriptors) {

    /** Options of the JVM. */
    List<String> options() {
        return List.of(
                "-Xmx" + heapMegabytes + "m",
                "-Xmn" + heapMegabytes / 8 + "m",
                "-XX:+ExitOnOutOfMemoryError");
    }

    /** Command that starts the command that follows it. */
    List<String> launcher() {
        return List.of("/bin/sh", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "sh");
    }
}
