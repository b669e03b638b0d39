package org.tanagergap.gateway.membership;

import java.util.Set;
import java.util.TreeSet;

/**
 * Failure domains that the operator drains, also those without upstreams so far. Confined to the
 * event loop.
 */
final class DrainedDomains {

    private final Set<String> mDomains = new TreeSet<>();

    /**
     * Records whether a domain is drained.
     *
     * @return true if this is a change
     */
    boolean set(String domain, boolean drained) {
        return drained ? mDomains.add(domain) : mDomains.remove(domain);
    }

    boolean contains(String domain) {
        return mDomains.contains(domain);
    }

    /** Drained domains in alphabetical order. */
    Set<String> all() {
        return new TreeSet<>(mDomains);
    }
}
