package org.tanagergap.gateway.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.KeyValue;

/** Reads all items with given prefixes from the store, page by page. */
final class StoreReader {

    private final ChangeFeed mFeed;
    private final List<String> mPrefixes;

    /**
     * Contents of the store. Pages are not one snapshot.
     *
     * @param items items of all pages
     * @param pages position of the store at each page; not empty
     */
    record Contents(List<KeyValue> items, List<StorePosition> pages) {

        /** Position up to which the contents are complete. */
        StorePosition position() {
            return pages.stream().min(StorePosition::compareTo).orElseThrow();
        }
    }

    StoreReader(ChangeFeed feed, List<String> prefixes) {
        mFeed = feed;
        mPrefixes = List.copyOf(prefixes);
    }

    CompletableFuture<Contents> readAll() {
        Contents contents = new Contents(new ArrayList<>(), new ArrayList<>());
        CompletableFuture<Void> read = CompletableFuture.completedFuture(null);
        for (String prefix : mPrefixes) {
            read = read.thenCompose(ignored -> readPages(prefix, "", contents));
        }
        return read.thenApply(ignored -> contents);
    }

    private CompletableFuture<Void> readPages(String prefix, String afterKey, Contents contents) {
        return mFeed.readPage(prefix, afterKey)
                .thenCompose(
                        page -> {
                            contents.items().addAll(page.items());
                            contents.pages().add(page.position());
                            if (page.complete() || page.items().isEmpty()) {
                                return CompletableFuture.completedFuture(null);
                            }
                            String last = page.items().get(page.items().size() - 1).key();
                            return readPages(prefix, last, contents);
                        });
    }
}
