package org.tanagergap.gateway.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.UpstreamHealth;
import org.tanagergap.gateway.forward.QuarantineGate;
import org.tanagergap.gateway.membership.ReplicaProgress;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.PeriodicTask;

/**
 * Exchanges load reports with peers. They are sent as datagrams, because the next report replaces a
 * lost one. Confined to the event loop.
 */
public final class PeerExchange implements Service {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

    /** Shortest time between two reports if one is sent ahead of schedule. */
    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(15);

    /** An instance without load sends a report only once in this number of intervals. */
    private static final int IDLE_REPORT_INTERVALS = 4;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Vertx mVertx;
    private final RuntimeClock mClock;
    private final String mId;
    private final HostPort mAddress;
    private final PeerDirectory mDirectory;
    private final FleetLoad mLoad;
    private final UpstreamHealth mHealth;
    private final QuarantineGate mQuarantine;
    private final Supplier<ReplicaProgress> mProgress;
    private final Consumer<ReplicaProgress> mPeerProgress;
    private final PeriodicTask mReports;
    private DatagramSocket mSocket;
    private long mReportedNanos;
    private boolean mReportScheduled;
    private int mIntervalsSinceReport;

    /**
     * Creates an exchange that is not started.
     *
     * @param progress progress of the local replica of the store
     * @param peerProgress receives the progress of the replicas of peers
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
            Supplier<ReplicaProgress> progress,
            Consumer<ReplicaProgress> peerProgress) {
        mVertx = vertx;
        mClock = clock;
        mId = id;
        mAddress = address;
        mDirectory = directory;
        mLoad = load;
        mHealth = health;
        mQuarantine = quarantine;
        mProgress = progress;
        mPeerProgress = peerProgress;
        mReports = new PeriodicTask(clock, REPORT_INTERVAL, this::reportPeriodically);
    }

    @Override
    public CompletableFuture<Void> start() {
        mSocket = mVertx.createDatagramSocket();
        mSocket.handler(this::datagramReceived);
        Future<Void> bound = mSocket.listen(mAddress.port(), mAddress.host()).mapEmpty();
        return Futures.toCompletable(bound).thenCompose(ignored -> mReports.start());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mSocket == null ? Future.succeededFuture() : mSocket.close();
        return mReports.stop().thenCompose(ignored -> Futures.toCompletable(closed));
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
                        mProgress.get(),
                        mLoad.localLoads(now),
                        suspended,
                        mQuarantine.nextUpdate());
        Buffer datagram = report.encode();
        for (HostPort peer : mDirectory.addresses()) {
            if (!peer.equals(mAddress)) {
                mSocket.send(datagram, peer.port(), peer.host())
                        .onFailure(
                                failure ->
                                        sLogger.atFine().log(
                                                "report to %s was not sent: %s", peer, failure));
            }
        }
    }

    private void datagramReceived(DatagramPacket packet) {
        var report = PeerReport.decode(packet.data());
        if (report.isEmpty()) {
            sLogger.atWarning().log(
                    "datagram from %s is not a peer report and is ignored", packet.sender());
            return;
        }
        accept(report.get(), packet);
    }

    private void accept(PeerReport report, DatagramPacket packet) {
        if (report.id().equals(mId)) {
            return;
        }
        long now = mClock.nanoTime();
        HostPort address = new HostPort(packet.sender().host(), packet.sender().port());
        mDirectory.reportReceived(report.id(), address, report.progress().revision());
        mPeerProgress.accept(report.progress());
        mLoad.peerReported(report.id(), report.loads(), now);
        report.suspendedMillis()
                .forEach((id, remaining) -> mHealth.suspend(id, Duration.ofMillis(remaining), now));
        mQuarantine.accept(report.quarantine());
    }
}
