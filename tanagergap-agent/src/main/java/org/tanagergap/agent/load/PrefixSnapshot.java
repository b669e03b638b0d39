package org.tanagergap.agent.load;

import java.util.List;

/**
 * Prefixes in the engine's cache.
 *
 * @param revision changes with each change of the hashes; never 0
 * @param hashes at most 32 hashes
 */
record PrefixSnapshot(long revision, List<String> hashes) {

    PrefixSnapshot {
        hashes = List.copyOf(hashes);
    }
}
