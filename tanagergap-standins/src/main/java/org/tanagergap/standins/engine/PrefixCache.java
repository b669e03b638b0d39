package org.tanagergap.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Cache of prompt blocks in memory that no run uses; evicts the least recently used first. */
public final class PrefixCache {

    /** Tokens of one block. */
    public static final int BLOCK_TOKENS = 256;

    private final Map<Block, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Consumer<StandInCacheEvent> mEvents;
    private long mSequence;

    public PrefixCache(Consumer<StandInCacheEvent> events) {
        mEvents = events;
    }

    /** Number of cached tokens at the start of the prompt. */
    public long lookup(String cacheSalt, List<Long> blockHashes) {
        long cached = 0;
        for (long hash : blockHashes) {
            if (mBlocks.get(new Block(cacheSalt, hash)) == null) {
                break;
            }
            cached += BLOCK_TOKENS;
        }
        return cached;
    }

    /** Stores the blocks of a prompt. */
    public void store(String cacheSalt, List<Long> blockHashes) {
        for (long hash : blockHashes) {
            Block block = new Block(cacheSalt, hash);
            if (mBlocks.put(block, Boolean.TRUE) == null) {
                mEvents.accept(new StandInCacheEvent(++mSequence, "stored", cacheSalt, hash));
            }
        }
    }

    /** Evicts blocks until the cache occupies at most the given number of tokens. */
    public void shrinkTo(long tokens) {
        List<Block> evicted = new ArrayList<>();
        Iterator<Block> oldestFirst = mBlocks.keySet().iterator();
        long excess = tokens() - Math.max(0, tokens);
        while (excess > 0 && oldestFirst.hasNext()) {
            evicted.add(oldestFirst.next());
            oldestFirst.remove();
            excess -= BLOCK_TOKENS;
        }
        for (Block block : evicted) {
            mEvents.accept(
                    new StandInCacheEvent(++mSequence, "evicted", block.cacheSalt(), block.hash()));
        }
    }

    /** Memory that the cache uses, in tokens. */
    public long tokens() {
        return (long) mBlocks.size() * BLOCK_TOKENS;
    }

    private record Block(String cacheSalt, long hash) {}
}
