package org.tanagergap.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds free loopback ports. */
final class FreePorts {

    private static final Set<Integer> sReturnedPorts = new HashSet<>();

    private FreePorts() {}

    /** Returns a port that could be bound just now and that no earlier call has returned. */
    static synchronized int next() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (sReturnedPorts.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new UncheckedIOException("could not bind a free loopback port", e);
            }
        }
    }
}
