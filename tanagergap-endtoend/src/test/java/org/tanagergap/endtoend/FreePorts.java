package org.tanagergap.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;
import org.tanagergap.runtime.settings.FreeAddresses;

/** Finds free loopback ports. */
final class FreePorts {

    private static final Set<Integer> sReturnedPorts = new HashSet<>();

    private FreePorts() {}

    /** Returns a port that could be bound just now and that no earlier call has returned. */
    static synchronized int next() {
        while (true) {
            try {
                int port = FreeAddresses.find(1).get(0).port();
                if (sReturnedPorts.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                throw new UncheckedIOException("could not bind a free loopback port", e);
            }
        }
    }
}
