package org.tanagergap.gateway.caller;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Idle timeouts that callers may go by. A caller reuses a connection according to the timeout that
 * it knows, so a lower one does not apply to connections that are idle already or whose callers may
 * not know it yet. Not thread-safe.
 */
final class IdleLimits {

    /** Gateways apply a new configuration within 2 s; callers are given twice that time. */
    static final Duration CALLER_DELAY = Duration.ofSeconds(4);

    /**
     * Timeout of an instance that has just started. Its callers may go by an earlier configuration,
     * which it has not seen.
     */
    static final Duration UNKNOWN = Duration.ofMinutes(1);

    private final Deque<Limit> mPrevious = new ArrayDeque<>();
    private Duration mCurrent = UNKNOWN;

    private record Limit(Duration duration, long endNanos) {}

    /** Records the idle timeout of the configuration that is in force from now on. */
    void inForce(Duration limit, long nowNanos) {
        if (!limit.equals(mCurrent)) {
            removeUnused(nowNanos);
            mPrevious.add(new Limit(mCurrent, nowNanos));
            mCurrent = limit;
        }
    }

    /** Idle timeout of the configuration that is in force. */
    Duration current() {
        return mCurrent;
    }

    /** Returns the longest timeout that a connection's caller has been able to go by since then. */
    Duration limitFor(long idleSinceNanos) {
        Duration longest = mCurrent;
        for (Limit limit : mPrevious) {
            boolean mayBeKnown = limit.endNanos() - idleSinceNanos > -CALLER_DELAY.toNanos();
            if (mayBeKnown && limit.duration().compareTo(longest) > 0) {
                longest = limit.duration();
            }
        }
        return longest;
    }

    /** Removes the timeouts that ended before every connection that is still open became idle. */
    private void removeUnused(long nowNanos) {
        Duration longest = mCurrent;
        for (Limit limit : mPrevious) {
            longest = limit.duration().compareTo(longest) > 0 ? limit.duration() : longest;
        }
        long keptNanos = longest.plus(CALLER_DELAY).toNanos();
        mPrevious.removeIf(limit -> nowNanos - limit.endNanos() > keptNanos);
    }
}
