package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Load of every upstream: the work of this instance, exact, and that of its peers as they last
 * reported it. Confined to the event loop.
 */
public final class FleetLoad {

    /** A peer that is silent for longer has lost its connections or its process. */
    private static final Duration PEER_REPORT_LIFETIME = Duration.ofMillis(1500);

    private final Map<String, Set<InFlightRequest>> mLocal = new HashMap<>();
    private final Map<String, PeerReport> mPeers = new HashMap<>();

    private record PeerReport(long receivedNanos, Map<String, UpstreamLoad> loads) {}

    /** Records that a request is sent to an upstream. */
    public InFlightRequest begin(String upstream, InFlightRequest.Demand demand, long nowNanos) {
        InFlightRequest work = new InFlightRequest(upstream, demand, nowNanos);
        mLocal.computeIfAbsent(upstream, ignored -> new HashSet<>()).add(work);
        return work;
    }

    /** Records that the request has ended; has no effect the second time. */
    public void end(InFlightRequest work) {
        Set<InFlightRequest> works = mLocal.get(work.upstream());
        if (works != null && works.remove(work) && works.isEmpty()) {
            mLocal.remove(work.upstream());
        }
    }

    /** Replaces what a peer has reported. */
    public void peerReported(String peer, Map<String, UpstreamLoad> loads, long nowNanos) {
        mPeers.put(peer, new PeerReport(nowNanos, Map.copyOf(loads)));
    }

    /** Work of this instance by upstream. */
    public Map<String, UpstreamLoad> localLoads(long nowNanos) {
        Map<String, UpstreamLoad> loads = new HashMap<>();
        mLocal.keySet().forEach(upstream -> loads.put(upstream, localLoad(upstream, nowNanos)));
        return loads;
    }

    /** Work of all instances at one upstream. */
    public UpstreamLoad totalLoad(String upstream, long nowNanos) {
        UpstreamLoad load = localLoad(upstream, nowNanos);
        for (PeerReport report : mPeers.values()) {
            UpstreamLoad peer = report.loads().get(upstream);
            if (peer != null && isFresh(report, nowNanos)) {
                load = load.plus(peer);
            }
        }
        return load;
    }

    private UpstreamLoad localLoad(String upstream, long nowNanos) {
        UpstreamLoad load = UpstreamLoad.NONE;
        for (InFlightRequest work : mLocal.getOrDefault(upstream, Set.of())) {
            load = load.plus(work.load(nowNanos));
        }
        return load;
    }

    private static boolean isFresh(PeerReport report, long nowNanos) {
        return nowNanos - report.receivedNanos() <= PEER_REPORT_LIFETIME.toNanos();
    }
}
