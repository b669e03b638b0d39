package org.tanagergap.console;

import java.util.List;
import java.util.Optional;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsSettings;

/**
 * Settings of the console.
 *
 * @param name name of this process in its own status
 * @param listen address for browsers
 * @param processes admin addresses of entries and agents
 * @param tls keys towards browsers; absent for clear text
 * @param secureCookie whether browsers may send the session cookie over TLS only
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
