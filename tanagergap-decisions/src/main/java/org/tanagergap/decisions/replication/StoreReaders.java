package org.tanagergap.decisions.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.tanagergap.decisions.routing.RendezvousHash;

/**
 * Chooses the instances that poll the store on behalf of the fleet. Each instance decides for
 * itself, from the reports that it receives: instances that hear different peers may choose
 * different readers, and an instance that hears none is its own reader. Confined to the event loop.
 */
public final class StoreReaders {

    /** Fleets up to this size have no readers: each instance polls. */
    static final int MAX_INSTANCES_WITHOUT_READERS = 5;

    /**
     * With three readers, two remain when one dies, so that a lost report or response of one of
     * them does not make the whole fleet poll.
     */
    static final int MIN_READERS = 3;

    /** Peers drop the reports of an instance after this time. */
    static final Duration PEER_LIFETIME = Duration.ofMillis(1500);

    /**
     * An instance whose last read is older cannot reach the store: also one that is not a reader
     * reads every 6 s.
     */
    static final Duration MAX_READ_AGE = Duration.ofSeconds(8);

    /** The choice is asked for with each item that changes; it is made again after this time. */
    private static final Duration CHOICE_LIFETIME = Duration.ofMillis(100);

    private static final String HASH_KEY = "store-reader";

    private final String mId;
    private final String mDomain;
    private final ReplicationTiming mTiming;
    private final Map<String, Peer> mPeers = new HashMap<>();
    private Set<String> mChosen = Set.of();
    private long mChosenNanos;
    private OptionalLong mOwnReadNanos = OptionalLong.empty();
    private int mOwnFailedCalls;

    private record Peer(String domain, OptionalLong readNanos, int failedCalls, long heardNanos) {

        boolean hasReadWithin(Duration age, long nowNanos) {
            return readNanos.isPresent() && nowNanos - readNanos.getAsLong() <= age.toNanos();
        }

        boolean isFailing() {
            return failedCalls > 0;
        }
    }

    /**
     * Creates a choice among no peers.
     *
     * @param id identifier of this instance
     * @param domain failure domain of this instance
     */
    public StoreReaders(String id, String domain, ReplicationTiming timing) {
        mId = id;
        mDomain = domain;
        mTiming = timing;
    }

    /** Records that the store answered a read of this instance. */
    public void storeRead(long nowNanos) {
        mOwnReadNanos = OptionalLong.of(nowNanos);
        if (mOwnFailedCalls > 0) {
            mChosen = Set.of();
        }
        mOwnFailedCalls = 0;
    }

    /** Records that a call of this instance to the store failed. */
    public void storeCallFailed() {
        mOwnFailedCalls++;
        mChosen = Set.of();
    }

    /** Failed calls of this instance and the peers that are heard, each since its last read. */
    public int failedCalls(long nowNanos) {
        expire(nowNanos);
        return mOwnFailedCalls + mPeers.values().stream().mapToInt(Peer::failedCalls).sum();
    }

    /** What this instance reports of its own reads. */
    public PeerRead report(boolean outage, long nowNanos) {
        Optional<Duration> sinceRead =
                mOwnReadNanos.isPresent()
                        ? Optional.of(Duration.ofNanos(nowNanos - mOwnReadNanos.getAsLong()))
                        : Optional.empty();
        return new PeerRead(mDomain, sinceRead, outage, mOwnFailedCalls);
    }

    /** Records the report of a peer. */
    public void peerReported(String id, PeerRead read, long nowNanos) {
        if (id.equals(mId)) {
            return;
        }
        OptionalLong readNanos =
                read.sinceRead()
                        .map(age -> OptionalLong.of(nowNanos - age.toNanos()))
                        .orElse(OptionalLong.empty());
        Peer peer = new Peer(read.domain(), readNanos, read.failedCalls(), nowNanos);
        Peer previous = mPeers.put(id, peer);
        if (previous == null || previous.isFailing() != peer.isFailing()) {
            mChosen = Set.of();
        }
    }

    /** Returns true if no peer has reported recently. */
    public boolean isAlone(long nowNanos) {
        expire(nowNanos);
        return mPeers.isEmpty();
    }

    /**
     * Returns true if this instance polls the store at short intervals.
     *
     * @param instances size of the fleet, including instances that are not heard
     */
    public boolean isReader(int instances, long nowNanos) {
        return !hasReaders(instances) || readers(nowNanos).contains(mId);
    }

    /** Returns true if a fleet of that size has readers; in others, each instance polls. */
    public boolean hasReaders(int instances) {
        return instances > MAX_INSTANCES_WITHOUT_READERS;
    }

    /** Returns true if a reader other than this instance has read the store recently. */
    public boolean anyOtherHasReadRecently(long nowNanos) {
        return otherReaders(nowNanos).stream()
                .anyMatch(reader -> reader.hasReadWithin(mTiming.maxSilence(), nowNanos));
    }

    private List<Peer> otherReaders(long nowNanos) {
        Set<String> readers = readers(nowNanos);
        List<Peer> others = new ArrayList<>();
        mPeers.forEach(
                (id, peer) -> {
                    if (readers.contains(id)) {
                        others.add(peer);
                    }
                });
        return others;
    }

    /** Identifiers of the readers: the first of each failure domain, and at least three. */
    Set<String> readers(long nowNanos) {
        boolean current = nowNanos - mChosenNanos < CHOICE_LIFETIME.toNanos();
        if (mChosen.isEmpty() || !current) {
            expire(nowNanos);
            mChosen = choose(nowNanos);
            mChosenNanos = nowNanos;
        }
        return mChosen;
    }

    private Set<String> choose(long nowNanos) {
        Map<String, String> domains = candidates(nowNanos);
        Map<String, List<String>> byDomain = new TreeMap<>();
        domains.forEach(
                (id, domain) -> byDomain.computeIfAbsent(domain, d -> new ArrayList<>()).add(id));
        Set<String> readers = new HashSet<>();
        byDomain.values().forEach(ids -> readers.addAll(first(ids, 1)));
        for (String id : first(domains.keySet(), domains.size())) {
            if (readers.size() >= MIN_READERS) {
                break;
            }
            readers.add(id);
        }
        return readers;
    }

    /**
     * Live instances whose last call to the store succeeded, with their failure domains; otherwise
     * those that have reached it lately, or all.
     */
    private Map<String, String> candidates(long nowNanos) {
        Map<String, Peer> live = new HashMap<>(mPeers);
        live.put(mId, new Peer(mDomain, mOwnReadNanos, mOwnFailedCalls, nowNanos));
        Map<String, String> reading =
                domains(live, peer -> peer.hasReadWithin(MAX_READ_AGE, nowNanos));
        Map<String, String> succeeding =
                domains(
                        live,
                        peer -> peer.hasReadWithin(MAX_READ_AGE, nowNanos) && !peer.isFailing());
        if (!succeeding.isEmpty()) {
            return succeeding;
        }
        return reading.isEmpty() ? domains(live, peer -> true) : reading;
    }

    private static Map<String, String> domains(Map<String, Peer> peers, Predicate<Peer> filter) {
        Map<String, String> domains = new HashMap<>();
        peers.forEach(
                (id, peer) -> {
                    if (filter.test(peer)) {
                        domains.put(id, peer.domain());
                    }
                });
        return domains;
    }

    private static List<String> first(Collection<String> ids, int count) {
        return RendezvousHash.first(HASH_KEY, ids, id -> id, count);
    }

    private void expire(long nowNanos) {
        mPeers.values().removeIf(p -> nowNanos - p.heardNanos() > PEER_LIFETIME.toNanos());
    }
}
