package org.tanagergap.gateway.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.gateway.membership.ReplicaProgress;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Peers of this instance: those registered in the store, the seeds of the settings, and those that
 * have sent a report recently. Confined to the event loop.
 */
public final class PeerDirectory {

    /** Prefix of the keys under which instances register. */
    public static final String KEY_PREFIX = "tanagergap/gateways/";

    /** A peer whose registration has expired is kept this long after its last report. */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(10);

    /**
     * Changes are fetched from one of the newest replicas, which are those of the readers of the
     * store, but not always from the same one, because it may be unreachable.
     */
    private static final int MIN_NEWEST = 4;

    private static final int NEWEST_DIVISOR = 4;

    /** Characters of an IP address or host name. */
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9.:\\[\\]_-]+");

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final String mId;
    private final List<HostPort> mSeeds;
    private final Map<String, HostPort> mRegistered = new HashMap<>();
    private final Map<String, ReportingPeer> mReportingPeers = new HashMap<>();

    private record ReportingPeer(HostPort address, ReplicaProgress progress, long nanos) {

        StorePosition position() {
            return progress.position();
        }
    }

    public PeerDirectory(RuntimeClock clock, String id, List<HostPort> seeds) {
        mClock = clock;
        mId = id;
        mSeeds = List.copyOf(seeds);
    }

    /** Value that an instance registers. */
    public static String registrationValue(HostPort address) {
        return new JsonObject().put("address", address.toString()).encode();
    }

    /** Applies an item of the store; items with other prefixes are ignored. */
    public void accept(KeyValue item) {
        if (!item.key().startsWith(KEY_PREFIX)) {
            return;
        }
        String id = item.key().substring(KEY_PREFIX.length());
        mRegistered.remove(id);
        if (!id.equals(mId) && !item.value().isEmpty()) {
            try {
                mRegistered.put(id, address(new JsonObject(item.value())));
            } catch (DecodeException | ClassCastException | IllegalArgumentException e) {
                sLogger.atWarning().log(
                        "registration %s is invalid and is ignored: %.200s", item.key(), e);
            }
        }
    }

    private static HostPort address(JsonObject registration) {
        return Optional.ofNullable(registration.getString("address"))
                .flatMap(HostPort::parse)
                .filter(address -> address.port() > 0)
                .filter(address -> HOST.matcher(address.host()).matches())
                .orElseThrow(() -> new IllegalArgumentException("it has no valid address"));
    }

    /** Records the report of a peer. */
    public void reportReceived(String id, HostPort address, ReplicaProgress progress) {
        if (!id.equals(mId)) {
            mReportingPeers.put(id, new ReportingPeer(address, progress, mClock.nanoTime()));
        }
    }

    /** Addresses to which reports are sent. */
    public Set<HostPort> addresses() {
        removeIdle();
        Set<HostPort> addresses = new HashSet<>(mRegistered.values());
        mReportingPeers.values().forEach(peer -> addresses.add(peer.address()));
        if (addresses.isEmpty()) {
            addresses.addAll(mSeeds);
        }
        return addresses;
    }

    /** Number of instances, this one included. */
    public int instanceCount() {
        removeIdle();
        Set<String> ids = new HashSet<>(mRegistered.keySet());
        ids.addAll(mReportingPeers.keySet());
        return Math.max(1 + ids.size(), mSeeds.size());
    }

    /**
     * Peers whose replica is after the position, the newest first. If one of them has reported a
     * change after the position, only peers that have it are returned: most peers of a large fleet
     * are ahead by heartbeats alone. At most the newest quarter of them is returned, but at least
     * four.
     */
    public List<HostPort> peersAheadOf(StorePosition position) {
        removeIdle();
        StorePosition lastChange =
                mReportingPeers.values().stream()
                        .map(peer -> peer.progress().lastChange())
                        .reduce(position, StorePosition::max);
        List<ReportingPeer> newer = new ArrayList<>();
        mReportingPeers.values().stream()
                .filter(peer -> peer.position().isAfter(position))
                .filter(peer -> !lastChange.isAfter(peer.position()))
                .forEach(newer::add);
        newer.sort(Comparator.comparing(ReportingPeer::position).reversed());
        int newest = Math.max(MIN_NEWEST, newer.size() / NEWEST_DIVISOR);
        return newer.stream().limit(newest).map(ReportingPeer::address).toList();
    }

    /** Time since the last report of each peer that has reported recently. */
    public Map<String, Duration> silence() {
        removeIdle();
        long now = mClock.nanoTime();
        Map<String, Duration> silence = new HashMap<>();
        mReportingPeers.forEach(
                (id, peer) -> silence.put(id, Duration.ofNanos(now - peer.nanos())));
        return silence;
    }

    /** Address of a peer that has reported recently. */
    public Optional<HostPort> address(String id) {
        return Optional.ofNullable(mReportingPeers.get(id)).map(ReportingPeer::address);
    }

    private void removeIdle() {
        long now = mClock.nanoTime();
        mReportingPeers.values().removeIf(h -> now - h.nanos() > REPORT_LIFETIME.toNanos());
    }
}
