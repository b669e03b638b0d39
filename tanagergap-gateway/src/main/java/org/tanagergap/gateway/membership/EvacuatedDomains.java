package org.tanagergap.gateway.membership;

import java.util.Set;
import java.util.TreeSet;

/**
 * Failure domains that the operator has evacuated, also those without upstreams so far. Confined to
 * the event loop.
 */
final class EvacuatedDomains {

    private final Set<String> mDomains = new TreeSet<>();

    /**
     * Records whether a domain is evacuated.
     *
     * @return true if this is a change
     */
    boolean set(String domain, boolean evacuated) {
        return evacuated ? mDomains.add(domain) : mDomains.remove(domain);
    }

    boolean contains(String domain) {
        return mDomains.contains(domain);
    }

    /** Evacuated domains in alphabetical order. */
    Set<String> all() {
        return new TreeSet<>(mDomains);
    }
}
