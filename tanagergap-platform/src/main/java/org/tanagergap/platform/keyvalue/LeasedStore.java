package org.tanagergap.platform.keyvalue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Conditional writes and leases of the platform's key-value service. Futures fail with {@link
 * KeyValueException}; after a failure of a write it is unknown whether the write has taken effect,
 * unless the exception says otherwise.
 */
public interface LeasedStore {

    /** Applies the writes atomically when all conditions hold. */
    CompletableFuture<TransactionResult> commit(Transaction transaction);

    /** Creates a lease; keys put with it disappear when it lapses. */
    CompletableFuture<Long> grantLease(Duration timeToLive);

    /** Extends a lease; fails when it has lapsed. */
    CompletableFuture<Void> keepLeaseAlive(long leaseId);
}
