package org.tanagergap.gateway.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;
import org.tanagergap.gateway.peer.PeerDirectory;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueException;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.PausedClock;

/** Gateways without load, their store, and the links between them, on a paused clock. */
final class SimulatedFleet {

    static final String PREFIX = "upstreams/";
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(400);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(50);
    private static final Duration PEER_DELAY = Duration.ofMillis(5);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(400);
    private static final int DOMAINS = 3;

    final PausedClock mClock = new PausedClock();
    final List<Gateway> mGateways = new ArrayList<>();
    private final Random mRandom;
    private final List<KeyValue> mHistory = new ArrayList<>();
    private final Set<Integer> mWithoutStore = new HashSet<>();
    private final Set<String> mCutLinks = new HashSet<>();
    private final boolean mEarlierVersion;
    private final ReplicationTiming mTiming;
    Duration mStoreDelay = Duration.ofMillis(20);
    Duration mStoreTimeout = Duration.ofMillis(700);
    double mLostReports;
    long mCalls;
    private long mRevision = 10;

    /** A gateway with its replica. */
    final class Gateway implements ChangeFeed, StoreChangeListener {

        final int mIndex;
        final FleetView mView = new FleetView(mClock);
        final PeerDirectory mDirectory;
        final StoreSync mSync;
        boolean mDead;
        int mFailingCalls;
        private int mNextPeer;

        Gateway(int index) {
            mIndex = index;
            mDirectory = new PeerDirectory(mClock, "g" + index, List.of());
            mSync =
                    new StoreSync(
                            mClock,
                            this,
                            new UpstreamItemDecoder(PREFIX, "configuration"),
                            List.of(),
                            mView,
                            this::fetch,
                            mDirectory::instanceCount,
                            new StoreReaders("g" + index, "domain-" + index % DOMAINS, mTiming),
                            mTiming,
                            this);
            mSync.announceWith(this::report);
        }

        boolean knows(String upstream) {
            return mView.upstream(upstream).isPresent();
        }

        private void reportPeriodically() {
            report();
            mClock.schedule(REPORT_INTERVAL, this::reportPeriodically);
        }

        private void report() {
            ReplicaProgress progress = mSync.progress();
            Optional<PeerRead> read =
                    mEarlierVersion ? Optional.empty() : Optional.of(mSync.storeRead());
            for (Gateway peer : mGateways) {
                boolean lost = mRandom.nextDouble() < mLostReports;
                if (peer != this && !mDead && !lost && linked(mIndex, peer.mIndex)) {
                    mClock.schedule(PEER_DELAY, () -> peer.reported(mIndex, progress, read));
                }
            }
        }

        private void reported(int sender, ReplicaProgress progress, Optional<PeerRead> read) {
            if (!mDead) {
                mDirectory.reportReceived(
                        "g" + sender, new HostPort("10.0.0.1", 1 + sender), progress);
                mSync.peerReported("g" + sender, progress, read);
            }
        }

        private Optional<CompletableFuture<PeerChanges>> fetch(StorePosition position) {
            List<HostPort> peers = mDirectory.peersAheadOf(position);
            if (peers.isEmpty()) {
                return Optional.empty();
            }
            Gateway peer = mGateways.get(peers.get(mNextPeer++ % peers.size()).port() - 1);
            CompletableFuture<PeerChanges> response = new CompletableFuture<>();
            if (peer.mDead || !linked(mIndex, peer.mIndex) || !linked(peer.mIndex, mIndex)) {
                fail(response, PEER_TIMEOUT);
            } else {
                mClock.schedule(
                        PEER_DELAY,
                        () -> response.complete(peer.mSync.replica().changesAfter(position)));
            }
            return Optional.of(response);
        }

        @Override
        public CompletableFuture<Changes> readPage(String prefix, String afterKey) {
            return call(0);
        }

        @Override
        public CompletableFuture<Changes> changesAfter(long revision) {
            return call(revision);
        }

        private CompletableFuture<Changes> call(long after) {
            CompletableFuture<Changes> response = new CompletableFuture<>();
            if (mDead) {
                return response;
            }
            mCalls++;
            if (mWithoutStore.contains(mIndex) || mFailingCalls-- > 0) {
                fail(response, mStoreTimeout);
                return response;
            }
            List<KeyValue> items =
                    mHistory.stream().filter(item -> item.modRevision() > after).toList();
            Changes changes = new Changes(items, new StorePosition(1, mRevision), true);
            mClock.schedule(mStoreDelay, () -> response.complete(changes));
            return response;
        }

        private <T> void fail(CompletableFuture<T> response, Duration delay) {
            mClock.schedule(
                    delay,
                    () ->
                            response.completeExceptionally(
                                    new KeyValueException(
                                            "no response", false, new TimeoutException())));
        }

        @Override
        public void itemChanged(KeyValue item) {}

        @Override
        public void storeRestored() {}
    }

    /** Starts gateways that know each other after 10 s. */
    SimulatedFleet(int gateways, boolean earlierVersion, long seed) {
        this(
                gateways,
                earlierVersion,
                seed,
                new ReplicationTiming(ReplicationTiming.DEFAULT_LIMIT));
    }

    SimulatedFleet(int gateways, boolean earlierVersion, long seed, ReplicationTiming timing) {
        mTiming = timing;
        mRandom = new Random(seed);
        mEarlierVersion = earlierVersion;
        put("u1");
        heartbeat();
        for (int i = 0; i < gateways; i++) {
            mGateways.add(new Gateway(i));
        }
        for (Gateway gateway : mGateways) {
            mClock.schedule(
                    Duration.ofMillis(mRandom.nextInt(1000)),
                    () -> {
                        gateway.mSync.start();
                        gateway.reportPeriodically();
                    });
        }
        mClock.advance(Duration.ofSeconds(10));
    }

    private void heartbeat() {
        put("u1");
        mClock.schedule(HEARTBEAT_INTERVAL, this::heartbeat);
    }

    void put(String upstream) {
        write(upstream, "1");
    }

    void remove(String upstream) {
        write(upstream, "");
    }

    private void write(String upstream, String value) {
        mRevision++;
        mHistory.removeIf(item -> item.key().equals(PREFIX + upstream));
        mHistory.add(new KeyValue(PREFIX + upstream, value, mRevision, 1));
    }

    List<Gateway> readers() {
        return mGateways.stream().filter(g -> !g.mDead && g.mSync.isReader()).toList();
    }

    void storeUnavailable(int gateway, boolean unavailable) {
        if (unavailable) {
            mWithoutStore.add(gateway);
        } else {
            mWithoutStore.remove(gateway);
        }
    }

    /** Makes the store unavailable to a gateway for a time that begins after the delay. */
    void cutFromStore(int gateway, Duration delay, Duration length) {
        mClock.schedule(delay, () -> storeUnavailable(gateway, true));
        mClock.schedule(delay.plus(length), () -> storeUnavailable(gateway, false));
    }

    /** Cuts the link in one direction. */
    void cut(int from, int to) {
        mCutLinks.add(from + ">" + to);
    }

    private boolean linked(int from, int to) {
        return !mCutLinks.contains(from + ">" + to);
    }

    /** Removes an upstream; returns the time until each live gateway has dropped it, in ms. */
    Map<Integer, Long> millisUntilDropped(String upstream) {
        remove(upstream);
        Map<Integer, Long> dropped = new TreeMap<>();
        boolean used = true;
        for (long millis = 0; used; millis += 10) {
            for (Gateway gateway : mGateways) {
                if (!gateway.mDead && !gateway.knows(upstream)) {
                    dropped.putIfAbsent(gateway.mIndex, millis);
                }
            }
            used = mGateways.stream().anyMatch(g -> !g.mDead && g.knows(upstream));
            mClock.advance(Duration.ofMillis(10));
            if (millis > 20_000) {
                throw new AssertionError("not dropped by all after 20 s: " + dropped);
            }
        }
        return dropped;
    }

    /** Writes a new upstream; returns the time until the last live gateway knows it, in ms. */
    long millisUntilKnown(String upstream) {
        put(upstream);
        long millis = 0;
        while (mGateways.stream().anyMatch(g -> !g.mDead && !g.knows(upstream))) {
            mClock.advance(Duration.ofMillis(10));
            millis += 10;
            if (millis > 10_000) {
                throw new AssertionError("not known to all after 10 s");
            }
        }
        return millis;
    }
}
