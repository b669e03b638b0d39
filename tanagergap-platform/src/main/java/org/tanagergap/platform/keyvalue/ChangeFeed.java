package org.tanagergap.platform.keyvalue;

import java.util.concurrent.CompletableFuture;

/**
 * Change feed of the platform's key-value store, read by polling. Futures fail with {@link
 * HistoryLostException} if the requested changes are no longer available, and with {@link
 * KeyValueException} on other errors.
 */
public interface ChangeFeed {

    /**
     * Reads a page of the current values, in order of their keys.
     *
     * @param prefix prefix of the keys
     * @param afterKey last key of the previous page; empty for the first page
     */
    CompletableFuture<Changes> readPage(String prefix, String afterKey);

    /** Reads the changes after the revision; may wait for a change if there are none yet. */
    CompletableFuture<Changes> changesAfter(long revision);
}
