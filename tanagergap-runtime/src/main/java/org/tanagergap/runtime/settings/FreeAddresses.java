package org.tanagergap.runtime.settings;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Loopback addresses for training runs and tests. */
public final class FreeAddresses {

    /** Host of the addresses. */
    public static final String HOST = "127.0.0.1";

    /** Below the ports that the system gives to outgoing connections of any process. */
    private static final int MIN_PORT = 15_000;

    private static final int MAX_PORT = 32_000;
    private static final int MAX_TRIES = 1_000;

    private FreeAddresses() {}

    /**
     * Returns different addresses on which nothing listens. All ports are open at the same time, so
     * that none is found twice.
     */
    public static List<HostPort> find(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<HostPort> addresses = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = bindRandom();
                sockets.add(socket);
                addresses.add(new HostPort(HOST, socket.getLocalPort()));
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return addresses;
    }

    private static ServerSocket bindRandom() throws IOException {
        InetAddress host = InetAddress.getByName(HOST);
        for (int i = 1; ; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try {
                return new ServerSocket(port, 1, host);
            } catch (BindException e) {
                if (i == MAX_TRIES) {
                    throw e;
                }
            }
        }
    }
}
