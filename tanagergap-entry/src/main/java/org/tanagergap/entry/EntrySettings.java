package org.tanagergap.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagergap.entry.caller.CallerSettings;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsSettings;

/**
 * Settings of an entry.
 *
 * @param id unique name, as in the instance list
 * @param failureDomain failure domain in which the entry stands
 * @param caller settings of the caller API
 * @param peerListen address for other entries
 * @param peers addresses of other entries
 * @param keyValue address of the key-value service
 * @param instances address of the instance list
 * @param tls keys towards callers, peers and agents; absent for clear text
 * @param drain time between the change of readiness and the refusal of new requests
 */
public record EntrySettings(
        String id,
        String failureDomain,
        CallerSettings caller,
        HostPort peerListen,
        List<HostPort> peers,
        HostPort keyValue,
        Optional<HostPort> instances,
        Optional<TlsSettings> tls,
        Duration drain) {
    public EntrySettings {
        peers = List.copyOf(peers);
    }
}
