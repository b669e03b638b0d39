package org.tanagergap.platform.keyvalue;

import io.smallrye.mutiny.Multi;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Futures fail with {@link KeyValueException}; after a failure of
 * a write it is unknown whether the write has taken effect, unless the exception says otherwise.
 */
public interface KeyValueStore extends LeasedStore {

    /** Latest value of a key. */
    CompletableFuture<Optional<KeyValue>> read(String key);

    /** Values whose keys are in {@code [from, to)}, ascending by key, at most {@code limit}. */
    CompletableFuture<List<KeyValue>> readRange(String from, String to, int limit);

    /**
     * Emits each later change of the keys that start with the prefix. Ends with a failure when the
     * service drops the watch; the subscriber then reads the current value and watches again.
     */
    Multi<KeyValue> watch(String prefix);
}
