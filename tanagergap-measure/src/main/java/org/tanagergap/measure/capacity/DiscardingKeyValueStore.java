package org.tanagergap.measure.capacity;

import io.smallrye.mutiny.Multi;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.TransactionResult;

/** Accepts and discards all writes, so that a heap measurement covers the client only. */
final class DiscardingKeyValueStore implements KeyValueStore {

    private long mWrites;

    /** Returns the number of transactions committed so far. */
    long writes() {
        return mWrites;
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<List<KeyValue>> readRange(String from, String to, int limit) {
        return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        mWrites++;
        return CompletableFuture.completedFuture(new TransactionResult(true, mWrites));
    }

    @Override
    public CompletableFuture<Long> grantLease(Duration timeToLive) {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Multi<KeyValue> watch(String prefix) {
        return Multi.createFrom().nothing();
    }
}
