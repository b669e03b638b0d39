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
 * @param failureDomain failure domain of the entry
 * @param caller settings of the caller API
 * @param peerListen address for other entries
 * @param peers addresses of other entries
 * @param keyValue address of the key-value store
 * @param instances address of the instance list
 * @param tls TLS keys for callers, peers and agents; absent for clear text
 * @param drain time between the loss of readiness and the refusal of new requests
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
