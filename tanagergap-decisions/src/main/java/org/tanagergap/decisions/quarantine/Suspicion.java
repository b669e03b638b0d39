package org.tanagergap.decisions.quarantine;

import java.util.Collections;
import java.util.Set;

/**
 * Crashes that are held against one prompt part.
 *
 * @param part identifier of the part
 * @param engines engines that crashed
 * @param incidents number of times at which engines crashed; simultaneous crashes count once
 * @param requests requests that had not received a token at a crash
 * @param position position of the part in the prompt; 0 is the first
 */
record Suspicion(
        String part, Set<String> engines, int incidents, Set<String> requests, int position) {

    /** Two incidents may be chance; a third with the same part and no tokens between is not. */
    private static final int MIN_INCIDENTS = 3;

    /** A bystander that is retried and crashes with two engines is one request, or two at most. */
    private static final int MIN_REQUESTS = 3;

    boolean isSufficient() {
        return incidents >= MIN_INCIDENTS && requests.size() >= MIN_REQUESTS;
    }

    /**
     * Returns true if this part is more likely than the other to be the cause of the crashes that
     * are held against both. Of the parts of the same requests it is the last one, because fewer
     * other requests have it.
     */
    boolean prevailsOver(Suspicion other) {
        if (Collections.disjoint(engines, other.engines)) {
            return true;
        }
        if (engines.size() != other.engines.size()) {
            return engines.size() > other.engines.size();
        }
        return requests.equals(other.requests) && position > other.position;
    }
}
