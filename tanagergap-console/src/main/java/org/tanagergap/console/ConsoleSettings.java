package org.tanagergap.console;

import java.util.List;
import java.util.Optional;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsSettings;

/**
 * Settings of the console.
 *
 * @param name name of this process in its status
 * @param listen address on which browsers connect
 * @param processes admin addresses of entries and agents
 * @param tls certificate and key for browsers; empty to serve plain HTTP
 * @param secureCookie true to set the Secure attribute of the session cookie
 * @param operatorKeys keys that open a session
 */
record ConsoleSettings(
        String name,
        HostPort listen,
        List<HostPort> processes,
        Optional<TlsSettings> tls,
        boolean secureCookie,
        OperatorKeys operatorKeys) {

    ConsoleSettings {
        processes = List.copyOf(processes);
    }
}
