package org.tanagergap.platform.keyvalue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Conditional writes and leases of the platform's key-value store. Futures fail with {@link
 * KeyValueException}. A failed write may have been applied unless {@link
 * KeyValueException#notApplied} returns true.
 */
public interface LeasedStore {

    /** Applies the writes atomically if all conditions hold. */
    CompletableFuture<TransactionResult> commit(Transaction transaction);

    /** Creates a lease and returns its id; keys put under it are deleted when it expires. */
    CompletableFuture<Long> grantLease(Duration timeToLive);

    /** Extends a lease; fails if it has expired. */
    CompletableFuture<Void> keepLeaseAlive(long leaseId);
}
