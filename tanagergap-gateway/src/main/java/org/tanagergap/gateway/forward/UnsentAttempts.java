package org.tanagergap.gateway.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Attempts that are placed and not sent yet: they reserve memory on helper engines or open their
 * connection. A placement holds only as long as its upstreams may receive requests. Confined to the
 * event loop.
 */
public final class UnsentAttempts {

    private final Set<UpstreamAttempt> mAttempts = new LinkedHashSet<>();

    void add(UpstreamAttempt attempt) {
        mAttempts.add(attempt);
    }

    /** Removes an attempt that is being sent or has ended. */
    void remove(UpstreamAttempt attempt) {
        mAttempts.remove(attempt);
    }

    /** Fails the attempts that need an upstream which must receive no more requests. */
    void upstreamUnavailable(String upstream) {
        // Each failure ends an attempt and may start another one.
        for (UpstreamAttempt attempt : List.copyOf(mAttempts)) {
            if (attempt.needs(upstream)) {
                attempt.upstreamUnavailable(upstream);
            }
        }
    }
}
