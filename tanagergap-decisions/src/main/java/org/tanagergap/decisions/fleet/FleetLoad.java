package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Load of every upstream: the exact load from this instance and the last load that each peer
 * reported. The sum of the peers' loads is kept for each upstream until one of them reports a
 * change, since placements ask for it more often than peers report. Confined to the event loop.
 */
public final class FleetLoad {

    /** A peer that has not reported for longer has lost its connections or its process. */
    private static final Duration PEER_REPORT_LIFETIME = Duration.ofMillis(1500);

    private final Map<String, Set<InFlightRequest>> mLocal = new HashMap<>();
    private final Map<String, ReceivedLoads> mPeers = new HashMap<>();
    private final Map<String, UpstreamLoad> mPeerTotals = new HashMap<>();
    private long mOldestReportNanos;

    private record ReceivedLoads(long receivedNanos, Map<String, UpstreamLoad> loads) {}

    /** Records that a request is sent to an upstream. */
    public InFlightRequest begin(String upstream, InFlightRequest.Demand demand, long nowNanos) {
        InFlightRequest request = new InFlightRequest(upstream, demand, nowNanos);
        mLocal.computeIfAbsent(upstream, ignored -> new HashSet<>()).add(request);
        return request;
    }

    /** Records that the request has ended; has no effect when called again. */
    public void end(InFlightRequest request) {
        Set<InFlightRequest> requests = mLocal.get(request.upstream());
        if (requests != null && requests.remove(request) && requests.isEmpty()) {
            mLocal.remove(request.upstream());
        }
    }

    /** Replaces the loads that a peer reported before. */
    public void peerReported(String peer, Map<String, UpstreamLoad> loads, long nowNanos) {
        if (mPeers.isEmpty()) {
            mOldestReportNanos = nowNanos;
        }
        ReceivedLoads previous = mPeers.put(peer, new ReceivedLoads(nowNanos, Map.copyOf(loads)));
        if (previous != null) {
            mPeerTotals.keySet().removeAll(previous.loads().keySet());
        }
        mPeerTotals.keySet().removeAll(loads.keySet());
    }

    /** Returns the load from this instance by upstream. */
    public Map<String, UpstreamLoad> localLoads(long nowNanos) {
        Map<String, UpstreamLoad> loads = new HashMap<>();
        mLocal.keySet().forEach(upstream -> loads.put(upstream, localLoad(upstream, nowNanos)));
        return loads;
    }

    /**
     * Returns the load from all instances at one upstream, without peers whose last report is
     * outdated.
     */
    public UpstreamLoad totalLoad(String upstream, long nowNanos) {
        removeOutdated(nowNanos);
        UpstreamLoad peers = mPeerTotals.computeIfAbsent(upstream, this::peerLoad);
        return localLoad(upstream, nowNanos).plus(peers);
    }

    /** Returns the ages of the peers' last reports, without those that are outdated. */
    public ReportAges reportAges(long nowNanos) {
        removeOutdated(nowNanos);
        long total = 0;
        for (ReceivedLoads report : mPeers.values()) {
            total += nowNanos - report.receivedNanos();
        }
        return new ReportAges(mPeers.size(), total);
    }

    private UpstreamLoad localLoad(String upstream, long nowNanos) {
        UpstreamLoad load = UpstreamLoad.NONE;
        for (InFlightRequest request : mLocal.getOrDefault(upstream, Set.of())) {
            load = load.plus(request.load(nowNanos));
        }
        return load;
    }

    private UpstreamLoad peerLoad(String upstream) {
        UpstreamLoad load = UpstreamLoad.NONE;
        for (ReceivedLoads report : mPeers.values()) {
            UpstreamLoad peer = report.loads().get(upstream);
            if (peer != null) {
                load = load.plus(peer);
            }
        }
        return load;
    }

    private void removeOutdated(long nowNanos) {
        if (nowNanos - mOldestReportNanos <= PEER_REPORT_LIFETIME.toNanos()) {
            return;
        }
        boolean removed =
                mPeers.values()
                        .removeIf(
                                report ->
                                        nowNanos - report.receivedNanos()
                                                > PEER_REPORT_LIFETIME.toNanos());
        if (removed) {
            mPeerTotals.clear();
        }
        mOldestReportNanos =
                mPeers.values().stream()
                        .mapToLong(ReceivedLoads::receivedNanos)
                        .min()
                        .orElse(nowNanos);
    }
}
