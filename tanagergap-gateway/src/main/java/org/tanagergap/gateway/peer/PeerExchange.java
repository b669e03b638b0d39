package org.tanagergap.gateway.peer;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.UpstreamHealth;
import org.tanagergap.gateway.forward.QuarantineGate;
import org.tanagergap.gateway.forward.RateLimitGate;
import org.tanagergap.gateway.membership.ReplicaReports;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.PeriodicTask;

/**
 * Exchanges reports and permits with peers. They are sent as datagrams, because the next one
 * replaces a lost one. Confined to the event loop.
 */
public final class PeerExchange implements Service {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

    /** Shortest time between two reports if one is sent ahead of schedule. */
    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(15);

    /** An instance without load sends a report only once in this number of intervals. */
    private static final int IDLE_REPORT_INTERVALS = 4;

    private final RuntimeClock mClock;
    private final String mId;
    private final PeerDirectory mDirectory;
    private final FleetLoad mLoad;
    private final UpstreamHealth mHealth;
    private final QuarantineGate mQuarantine;
    private final RateLimitGate mRateLimits;
    private final ReplicaReports mReplicas;
    private final PeriodicTask mReports;
    private final PeerSocket mSocket;
    private final PermitExchange mPermits;
    private long mReportedNanos;
    private boolean mReportScheduled;
    private int mIntervalsSinceReport;

    /**
     * Creates an exchange that is not started.
     *
     * @param replicas progress of the replicas of the store
     */
    public PeerExchange(
            Vertx vertx,
            RuntimeClock clock,
            String id,
            HostPort address,
            PeerDirectory directory,
            FleetLoad load,
            UpstreamHealth health,
            QuarantineGate quarantine,
            RateLimitGate rateLimits,
            ReplicaReports replicas) {
        mClock = clock;
        mId = id;
        mDirectory = directory;
        mLoad = load;
        mHealth = health;
        mQuarantine = quarantine;
        mRateLimits = rateLimits;
        mReplicas = replicas;
        mSocket = new PeerSocket(vertx, id, address, this::received);
        mPermits = new PermitExchange(clock, id, directory, rateLimits, mSocket);
        mReports = new PeriodicTask(clock, REPORT_INTERVAL, this::reportPeriodically);
    }

    @Override
    public CompletableFuture<Void> start() {
        return mSocket.start()
                .thenCompose(ignored -> mPermits.start())
                .thenCompose(ignored -> mReports.start());
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mReports.stop()
                .thenCompose(ignored -> mPermits.stop())
                .thenCompose(ignored -> mSocket.stop());
    }

    /** Sends a report ahead of schedule, so that peers avoid an upstream with much new load. */
    public void announce() {
        if (!mReportScheduled) {
            mReportScheduled = true;
            long since = mClock.nanoTime() - mReportedNanos;
            long wait = Math.max(0, MIN_REPORT_INTERVAL.toNanos() - since);
            mClock.schedule(Duration.ofNanos(wait), this::report);
        }
    }

    /** Requests or issues permits ahead of schedule. */
    public void exchangePermitsSoon() {
        mPermits.exchangeSoon();
    }

    private void reportPeriodically() {
        mIntervalsSinceReport++;
        if (mIntervalsSinceReport >= IDLE_REPORT_INTERVALS
                || !mLoad.localLoads(mClock.nanoTime()).isEmpty()) {
            report();
        }
    }

    private void report() {
        mIntervalsSinceReport = 0;
        mReportScheduled = false;
        long now = mClock.nanoTime();
        mReportedNanos = now;
        Map<String, Long> suspended = new HashMap<>();
        mHealth.suspended(now).forEach((id, remaining) -> suspended.put(id, remaining.toMillis()));
        PeerReport report =
                new PeerReport(
                        mId,
                        mReplicas.progress(),
                        Optional.of(mReplicas.storeRead()),
                        mLoad.localLoads(now),
                        mHealth.slowness().reportable(now),
                        suspended,
                        mQuarantine.nextUpdate(),
                        mRateLimits.observations());
        mSocket.send(report, mDirectory.addresses());
    }

    private void received(PeerDatagram datagram, HostPort sender) {
        if (datagram instanceof PeerReport report) {
            accept(report, sender);
        } else if (datagram instanceof PermitMessage message) {
            mPermits.received(message);
        }
    }

    private void accept(PeerReport report, HostPort sender) {
        long now = mClock.nanoTime();
        mDirectory.reportReceived(report.id(), sender, report.progress());
        mReplicas.peerReported(report.id(), report.progress(), report.storeRead());
        mLoad.peerReported(report.id(), report.loads(), now);
        Map<String, Duration> suspended = new HashMap<>();
        report.suspendedMillis()
                .forEach((id, remaining) -> suspended.put(id, Duration.ofMillis(remaining)));
        mHealth.peerReported(report.id(), suspended, now);
        mHealth.slowness().peerReported(report.id(), report.slowness(), now);
        mQuarantine.accept(report.quarantine());
        mRateLimits.accept(report.rateLimits());
    }
}
