package org.tanagergap.decisions.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing: each key ranks all nodes, and when a node is removed only its keys move. The
 * hash is the same in every process and release.
 */
public final class RendezvousHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the nodes with the highest scores for the key, best first. */
    public static <T> List<T> first(
            String key, Collection<T> nodes, Function<T, String> name, int count) {
        Comparator<T> byScore =
                Comparator.comparingLong((T node) -> score(key, name.apply(node)))
                        .thenComparing(name);
        return nodes.stream().sorted(byScore.reversed()).limit(count).toList();
    }

    /** Returns the score of a node for the key; the highest wins. */
    public static long score(String key, String node) {
        long hash = FNV_OFFSET;
        hash = update(hash, key);
        // A separator keeps ("ab", "c") and ("a", "bc") apart.
        hash = (hash ^ 0xff) * FNV_PRIME;
        return mix(update(hash, node));
    }

    private static long update(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Spreads similar inputs over all bits, which FNV alone does not (finalizer of MurmurHash3).
     */
    private static long mix(long value) {
        long hash = value;
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
