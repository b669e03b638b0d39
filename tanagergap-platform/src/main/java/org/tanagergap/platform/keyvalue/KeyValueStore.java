package org.tanagergap.platform.keyvalue;

import io.smallrye.mutiny.Multi;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store. Futures fail with {@link KeyValueException}. A failed write may
 * have been applied unless {@link KeyValueException#notApplied} returns true.
 */
public interface KeyValueStore extends LeasedStore {

    /** Reads the latest value of a key; empty if the key does not exist. */
    CompletableFuture<Optional<KeyValue>> read(String key);

    /** Reads up to {@code limit} values with keys in {@code [from, to)}, in ascending order. */
    CompletableFuture<List<KeyValue>> readRange(String from, String to, int limit);

    /**
     * Emits each subsequent change of the keys that start with the prefix. Fails if the store
     * closes the watch; the subscriber must then read the current value and open a new watch.
     */
    Multi<KeyValue> watch(String prefix);
}
