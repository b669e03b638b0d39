package org.tanagergap.platform.keyvalue;

import java.util.concurrent.CompletableFuture;

/**
 * Keys of the platform's key-value service, followed by asking for what has changed. Futures fail
 * with {@link HistoryLostException} when the changes are no longer known, and otherwise with {@link
 * KeyValueException}.
 */
public interface ChangeFeed {

    /** Current values of the keys that start with the prefix and come after the given key. */
    CompletableFuture<Changes> readPage(String prefix, String afterKey);

    /** Changes after the revision; answers at once when there are any. */
    CompletableFuture<Changes> changesAfter(long revision);
}
