package org.tanagergap.decisions.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recent crashes of engines and the prompt parts on which engines have generated tokens. Tokens
 * clear a part of all earlier crashes. Confined to the event loop.
 */
final class CrashHistory {

    static final Duration LIFETIME = Duration.ofSeconds(60);

    /** Crashes this close together may have one cause outside the engines, such as a lost rack. */
    static final Duration SAME_INCIDENT = Duration.ofMillis(250);

    /** Peers report a crash within this time; a decision without them could blame a bystander. */
    static final Duration SETTLING_TIME = Duration.ofMillis(600);

    private static final int MAX_OBSERVATIONS = 512;
    private static final int MAX_PARTS_WITH_TOKENS = 4096;

    private final Map<Key, Observation> mObservations = new LinkedHashMap<>();
    private final Map<String, Long> mTokensNanos = new LruMap<>(MAX_PARTS_WITH_TOKENS);

    private record Key(String engine, String request) {}

    private record Observation(EngineCrash crash, long nanos) {}

    /** Least recently used entries are removed first. */
    private static final class LruMap<K, V> extends LinkedHashMap<K, V> {

        private static final long serialVersionUID = 1L;

        private final int mCapacity;

        LruMap(int capacity) {
            super(16, 0.75f, true);
            mCapacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > mCapacity;
        }
    }

    /**
     * Records a crash.
     *
     * @return false if it is known already or too old
     */
    boolean add(EngineCrash crash, long nowNanos) {
        expire(nowNanos);
        if (crash.age().compareTo(LIFETIME) >= 0) {
            return false;
        }
        Key key = new Key(crash.engine(), crash.request());
        Observation observation = new Observation(crash, nowNanos - crash.age().toNanos());
        boolean added = mObservations.putIfAbsent(key, observation) == null;
        if (mObservations.size() > MAX_OBSERVATIONS) {
            mObservations.remove(mObservations.keySet().iterator().next());
        }
        return added;
    }

    /** Records that an engine has generated tokens on the part. */
    void tokensGenerated(String part, long nanos) {
        mTokensNanos.merge(part, nanos, (old, latest) -> latest - old > 0 ? latest : old);
    }

    /** Returns true if tokens were generated on the part after the time. */
    boolean hasTokensSince(String part, long nanos) {
        Long tokens = mTokensNanos.get(part);
        return tokens != null && tokens - nanos > 0;
    }

    /** Returns the time since tokens were last generated on the part; zero if none are known. */
    Duration timeSinceTokens(String part, long nowNanos) {
        return Duration.ofNanos(nowNanos - mTokensNanos.getOrDefault(part, nowNanos));
    }

    /** Returns true if a recent crash is held against the part. */
    boolean hasCrash(String part) {
        return mObservations.values().stream().anyMatch(o -> o.crash().parts().contains(part));
    }

    /**
     * Returns the crashes that are held against each part. A crash of an engine that had a request
     * with one of the known causes is held against no other part.
     */
    List<Suspicion> suspicions(Collection<String> knownCauses, long nowNanos) {
        expire(nowNanos);
        Map<String, Long> crashNanos = new HashMap<>();
        Set<String> explained = new HashSet<>();
        for (Observation observation : mObservations.values()) {
            String engine = observation.crash().engine();
            crashNanos.merge(engine, observation.nanos(), (a, b) -> b - a < 0 ? b : a);
            if (observation.crash().parts().stream().anyMatch(knownCauses::contains)) {
                explained.add(engine);
            }
        }
        Map<String, List<Observation>> byPart = new HashMap<>();
        for (Observation observation : mObservations.values()) {
            long nanos = crashNanos.get(observation.crash().engine());
            boolean settled = nowNanos - nanos >= SETTLING_TIME.toNanos();
            if (settled && !explained.contains(observation.crash().engine())) {
                addByPart(byPart, new Observation(observation.crash(), nanos));
            }
        }
        List<Suspicion> suspicions = new ArrayList<>();
        byPart.forEach((part, observations) -> suspicions.add(suspicion(part, observations)));
        return suspicions;
    }

    private void addByPart(Map<String, List<Observation>> byPart, Observation observation) {
        for (String part : observation.crash().parts()) {
            if (!hasTokensSince(part, observation.nanos())) {
                byPart.computeIfAbsent(part, ignored -> new ArrayList<>()).add(observation);
            }
        }
    }

    private static Suspicion suspicion(String part, List<Observation> observations) {
        Set<String> engines = new HashSet<>();
        Set<String> requests = new HashSet<>();
        int position = 0;
        for (Observation observation : observations) {
            engines.add(observation.crash().engine());
            requests.add(observation.crash().request());
            position = Math.max(position, observation.crash().parts().indexOf(part));
        }
        return new Suspicion(part, engines, incidents(observations), requests, position);
    }

    private static int incidents(List<Observation> observations) {
        List<Long> times =
                observations.stream().map(Observation::nanos).sorted(Long::compare).toList();
        int incidents = 0;
        long begin = 0;
        for (long time : times) {
            if (incidents == 0 || time - begin >= SAME_INCIDENT.toNanos()) {
                incidents++;
                begin = time;
            }
        }
        return incidents;
    }

    private void expire(long nowNanos) {
        mObservations.values().removeIf(o -> nowNanos - o.nanos() >= LIFETIME.toNanos());
    }
}
