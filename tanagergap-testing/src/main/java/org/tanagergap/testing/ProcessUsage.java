package org.tanagergap.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What a process uses of the machine, as the system reports it.
 *
 * @param pid identifier of the process
 */
public record ProcessUsage(long pid) {

    private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s+(\\d+) kB");

    /** Largest resident memory that the process has had. */
    public long peakResidentKilobytes() throws IOException {
        Matcher peak = PEAK_MEMORY.matcher(Files.readString(files().resolve("status")));
        if (!peak.find()) {
            throw new IOException("the system reports no peak of the memory");
        }
        return Long.parseLong(peak.group(1));
    }

    /** Number of descriptors that the process has open. */
    public long openDescriptors() throws IOException {
        try (Stream<Path> descriptors = Files.list(files().resolve("fd"))) {
            return descriptors.count();
        }
    }

    private Path files() {
        return Path.of("/proc", Long.toString(pid));
    }
}
