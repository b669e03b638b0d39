package org.tanagergap.decisions.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * One-way delay to each failure domain, learned from the time in which connections open. The lowest
 * times show the network; others include the load of both ends. Confined to the event loop.
 */
public final class DomainDelays {

    /** Share by which an estimate follows longer times, so that it adapts to a new route. */
    private static final double RISE_WEIGHT = 0.02;

    /** Delay to another failure domain until a connection has shown it, in ms. */
    private static final double INITIAL_REMOTE_MILLIS = 1;

    private final String mOwnDomain;
    private final Map<String, Double> mMillis = new HashMap<>();

    public DomainDelays(String ownDomain) {
        mOwnDomain = ownDomain;
    }

    /** Records the time in which a connection has opened, which is one round trip, in ms. */
    public void connected(String domain, double millis) {
        double oneWay = millis / 2;
        mMillis.merge(
                domain,
                oneWay,
                (known, seen) -> seen < known ? seen : known + RISE_WEIGHT * (seen - known));
    }

    /** Returns the one-way delay to a failure domain, in ms. */
    public double millis(String domain) {
        double initial = domain.equals(mOwnDomain) ? 0 : INITIAL_REMOTE_MILLIS;
        return mMillis.getOrDefault(domain, initial);
    }
}
