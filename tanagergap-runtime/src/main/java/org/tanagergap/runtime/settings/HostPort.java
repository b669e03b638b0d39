package org.tanagergap.runtime.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * Network address.
 *
 * @param host IP address or host name
 * @param port TCP port; 0 lets the system choose one
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    public HostPort {
        Objects.requireNonNull(host, "host must not be null");
    }

    /** Parses {@code host:port}; empty if the text does not have this form. */
    public static Optional<HostPort> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new HostPort(text.substring(0, colon), port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
