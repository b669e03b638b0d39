package org.tanagergap.standins.keyvalue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * State machine of the key-value service: revisions, transactions, leases and watches. It does no
 * I/O, reads no clock and is not thread-safe.
 */
public final class KeyValueState {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final int mMaxValueBytes;
    private final TreeMap<String, StoredValue> mValues = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new LinkedHashMap<>();
    private final Map<Long, Watcher> mWatchers = new LinkedHashMap<>();
    private long mRevision = 1;
    private long mLastId;

    public KeyValueState(int maxValueBytes) {
        mMaxValueBytes = maxValueBytes;
    }

    private record Lease(long timeToLiveSeconds, long expiryNanos) {}

    /** Contents at one revision, from which the state can be restored. */
    public record Backup(Map<String, StoredValue> values, Set<Long> leases, long revision) {}

    private record Watcher(KeyRange range, Consumer<List<KeyChange>> listener) {}

    /** Revision of the last change. */
    public long revision() {
        return mRevision;
    }

    public Backup backup() {
        return new Backup(Map.copyOf(mValues), Set.copyOf(mLeases.keySet()), mRevision);
    }

    /**
     * Loses all changes and leases since the backup. Revisions are given out again, and watches see
     * none of it.
     */
    public void restore(Backup backup) {
        mValues.clear();
        mValues.putAll(backup.values());
        mLeases.keySet().retainAll(backup.leases());
        mRevision = backup.revision();
    }

    /** Values in the range, ascending by key, at most {@code limit} or all when it is 0. */
    public SortedMap<String, StoredValue> range(KeyRange range, long limit) {
        SortedMap<String, StoredValue> result = new TreeMap<>();
        for (Map.Entry<String, StoredValue> entry : mValues.tailMap(range.from()).entrySet()) {
            if (!range.contains(entry.getKey()) || (limit > 0 && result.size() >= limit)) {
                break;
            }
            result.put(entry.getKey(), entry.getValue());
        }
        return result;
    }

    /**
     * Applies the operations of one branch atomically: {@code success} when all comparisons are
     * satisfied, {@code failure} otherwise.
     *
     * @return true if all comparisons were satisfied
     */
    public boolean commit(
            List<Comparison> comparisons, List<Operation> success, List<Operation> failure) {
        validate(success);
        validate(failure);
        boolean succeeded = comparisons.stream().allMatch(this::isSatisfied);
        apply(succeeded ? success : failure);
        return succeeded;
    }

    /** Creates a lease and returns its id. */
    public long grantLease(long timeToLiveSeconds, long nowNanos) {
        if (timeToLiveSeconds <= 0) {
            throw RefusedCallException.invalid("etcdserver: lease TTL must be positive");
        }
        long id = ++mLastId;
        mLeases.put(id, lease(timeToLiveSeconds, nowNanos));
        return id;
    }

    /** Renews a lease and returns its time to live in seconds; 0 when it has expired. */
    public long keepLeaseAlive(long id, long nowNanos) {
        expireLeases(nowNanos);
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return 0;
        }
        mLeases.put(id, lease(lease.timeToLiveSeconds(), nowNanos));
        return lease.timeToLiveSeconds();
    }

    /** Revokes a lease and deletes its keys. */
    public void revokeLease(long id) {
        if (mLeases.remove(id) == null) {
            throw RefusedCallException.leaseNotFound();
        }
        deleteKeysOf(Set.of(id));
    }

    /** Removes the expired leases and deletes their keys. */
    public void expireLeases(long nowNanos) {
        Set<Long> expired = new HashSet<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.expiryNanos() - nowNanos <= 0) {
                        expired.add(id);
                    }
                });
        if (!expired.isEmpty()) {
            mLeases.keySet().removeAll(expired);
            deleteKeysOf(expired);
        }
    }

    /** Reports subsequent changes of keys in the range and returns the id of the watch. */
    public long watch(KeyRange range, Consumer<List<KeyChange>> listener) {
        Objects.requireNonNull(listener, "listener must not be null");
        long id = ++mLastId;
        mWatchers.put(id, new Watcher(range, listener));
        return id;
    }

    /** Cancels a watch; has no effect when the watch does not exist. */
    public void cancelWatch(long id) {
        mWatchers.remove(id);
    }

    private static Lease lease(long timeToLiveSeconds, long nowNanos) {
        return new Lease(timeToLiveSeconds, nowNanos + timeToLiveSeconds * NANOS_PER_SECOND);
    }

    private boolean isSatisfied(Comparison comparison) {
        StoredValue value = mValues.get(comparison.key());
        if (value == null) {
            return comparison.expected() == 0;
        }
        long actual =
                switch (comparison.target()) {
                    case CREATE -> value.createRevision();
                    case MOD -> value.modRevision();
                    case VERSION -> value.version();
                };
        return actual == comparison.expected();
    }

    private void validate(List<Operation> operations) {
        List<KeyRange> deleted = new ArrayList<>();
        Set<String> put = new HashSet<>();
        for (Operation operation : operations) {
            if (operation instanceof Operation.Delete delete) {
                deleted.add(delete.range());
            } else if (operation instanceof Operation.Put write) {
                validatePut(write);
                if (!put.add(write.key())) {
                    throw RefusedCallException.invalid(
                            "etcdserver: duplicate key given in txn request");
                }
            }
        }
        // etcd refuses a transaction that puts and deletes the same key.
        if (put.stream().anyMatch(key -> deleted.stream().anyMatch(r -> r.contains(key)))) {
            throw RefusedCallException.invalid("etcdserver: duplicate key given in txn request");
        }
    }

    private void validatePut(Operation.Put write) {
        if (write.key().isEmpty()) {
            throw RefusedCallException.invalid("etcdserver: key is not provided");
        }
        int bytes = write.value().getBytes(StandardCharsets.UTF_8).length;
        if (bytes > mMaxValueBytes) {
            throw RefusedCallException.invalid("etcdserver: request is too large");
        }
        if (write.leaseId() != 0 && !mLeases.containsKey(write.leaseId())) {
            throw RefusedCallException.leaseNotFound();
        }
    }

    private void apply(List<Operation> operations) {
        long revision = mRevision + 1;
        Map<String, KeyChange> changes = new LinkedHashMap<>();
        for (Operation operation : operations) {
            if (operation instanceof Operation.Put put) {
                StoredValue value = nextValue(put, revision);
                mValues.put(put.key(), value);
                changes.put(put.key(), new KeyChange(put.key(), Optional.of(value), revision));
            } else if (operation instanceof Operation.Delete delete) {
                for (String key : List.copyOf(range(delete.range(), 0).keySet())) {
                    mValues.remove(key);
                    changes.put(key, new KeyChange(key, Optional.empty(), revision));
                }
            }
        }
        if (!changes.isEmpty()) {
            mRevision = revision;
            notifyWatchers(List.copyOf(changes.values()));
        }
    }

    private StoredValue nextValue(Operation.Put put, long revision) {
        StoredValue old = mValues.get(put.key());
        long created = old == null ? revision : old.createRevision();
        long version = old == null ? 1 : old.version() + 1;
        return new StoredValue(put.value(), created, revision, version, put.leaseId());
    }

    private void deleteKeysOf(Set<Long> leases) {
        List<Operation> deletions = new ArrayList<>();
        mValues.forEach(
                (key, value) -> {
                    if (leases.contains(value.leaseId())) {
                        deletions.add(new Operation.Delete(new KeyRange(key, "")));
                    }
                });
        apply(deletions);
    }

    private void notifyWatchers(List<KeyChange> changes) {
        for (Watcher watcher : List.copyOf(mWatchers.values())) {
            List<KeyChange> matching =
                    changes.stream().filter(c -> watcher.range().contains(c.key())).toList();
            if (!matching.isEmpty()) {
                watcher.listener().accept(matching);
            }
        }
    }
}
