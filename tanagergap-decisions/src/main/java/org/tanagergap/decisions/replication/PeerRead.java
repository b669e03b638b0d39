package org.tanagergap.decisions.replication;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What an instance tells its peers about its own reads of the store. It is never passed on, because
 * a peer could then take an old read for a recent one.
 *
 * @param domain failure domain of the instance
 * @param sinceRead time since the store last answered a read of the instance; empty before that
 * @param outage whether removals may be leases that expired while the store was unavailable; only
 *     earlier versions rely on it
 * @param failedCalls failed calls of the instance since its last read
 */
public record PeerRead(
        String domain, Optional<Duration> sinceRead, boolean outage, int failedCalls) {

    public PeerRead {
        Objects.requireNonNull(domain, "domain must not be null");
        Objects.requireNonNull(sinceRead, "sinceRead must not be null");
    }
}
