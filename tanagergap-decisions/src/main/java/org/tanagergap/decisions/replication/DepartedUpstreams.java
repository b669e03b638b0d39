package org.tanagergap.decisions.replication;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers upstreams that have left, because a restored store may hold an entry from before. An
 * upstream that was draining never becomes ready again in the same incarnation. One that was merely
 * removed may have lost its lease, and returns when it writes its entry again. Confined to the
 * event loop.
 */
public final class DepartedUpstreams {

    /** A store is restored from a backup that is younger than this. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final Map<String, Departure> mDepartures = new HashMap<>();

    private record Departure(boolean drained, long nanos) {}

    /** Records that an incarnation of an upstream is draining. */
    public void draining(String incarnation, long nowNanos) {
        expire(nowNanos);
        mDepartures.put(incarnation, new Departure(true, nowNanos));
    }

    /** Records that the entry of an incarnation was removed. */
    public void removed(String incarnation, long nowNanos) {
        expire(nowNanos);
        Departure previous = mDepartures.get(incarnation);
        boolean drained = previous != null && previous.drained();
        mDepartures.put(incarnation, new Departure(drained, nowNanos));
    }

    /**
     * Returns true if an entry shows that the incarnation takes requests.
     *
     * @param restored whether the entry was among the contents of a restored store, and may have
     *     been written before the incarnation left
     */
    public boolean mayReturn(String incarnation, boolean restored) {
        Departure departure = mDepartures.get(incarnation);
        return departure == null || (!departure.drained() && !restored);
    }

    /** Records that the incarnation takes requests again. */
    public void returned(String incarnation) {
        mDepartures.remove(incarnation);
    }

    private void expire(long nowNanos) {
        mDepartures
                .values()
                .removeIf(departure -> nowNanos - departure.nanos() > RETENTION.toNanos());
    }
}
