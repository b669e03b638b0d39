package org.tanagergap.state.fake;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tanagergap.platform.keyvalue.Condition;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueException;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.TransactionResult;
import org.tanagergap.platform.keyvalue.Write;
import org.tanagergap.testing.PausedClock;

/** In-memory key-value store with simulated latency and faults; leases never expire. */
public final class FakeKeyValueStore {

    private static final Duration CLIENT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_LATENCY_MILLIS = 10;
    private static final int MAX_EXTRA_DELAY_MILLIS = 4_000;

    private final PausedClock mClock;
    private final Random mRandom = new Random(20_260_101);
    private final TreeMap<String, KeyValue> mValues = new TreeMap<>();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final List<Consumer<KeyValue>> mObservers = new ArrayList<>();
    private long mRevision = 1;
    private long mLeases;
    private int mReads;
    private int mWrites;
    private boolean mOutage;
    private int mLoseReplies;
    private int mLoseRequests;
    private int mDelayedRequests;

    public FakeKeyValueStore(PausedClock clock) {
        mClock = clock;
    }

    private record Watcher(
            String prefix, SimulatedProcess process, MultiEmitter<? super KeyValue> emitter) {}

    /** Creates the client of a process. */
    public KeyValueStore connect(SimulatedProcess process) {
        return new Client(process);
    }

    /** Adds an observer that is called with each put when it takes effect. */
    public void observe(Consumer<KeyValue> observer) {
        mObservers.add(observer);
    }

    /** Starts or ends an outage; starting one drops all watches. */
    public void outage(boolean outage) {
        mOutage = outage;
        if (outage) {
            List<Watcher> dropped = List.copyOf(mWatchers);
            mWatchers.clear();
            dropped.forEach(w -> w.process().deliver(() -> w.emitter().fail(failure("outage"))));
        }
    }

    /** Copies the values. */
    public Map<String, KeyValue> backup() {
        return Map.copyOf(mValues);
    }

    /** Loses all writes since the backup without telling the open watches. */
    public void restore(Map<String, KeyValue> backup) {
        mValues.clear();
        mValues.putAll(backup);
        mRevision = backup.values().stream().mapToLong(KeyValue::modRevision).max().orElse(1);
    }

    /** Stops sending changes to the open watches without ending them. */
    public void stallWatches() {
        mWatchers.clear();
    }

    /** Applies the next writes but drops their responses. */
    public void loseReplies(int count) {
        mLoseReplies += count;
    }

    /** Drops the next calls before they are applied. */
    public void loseRequests(int count) {
        mLoseRequests += count;
    }

    /** Delays the next calls until after the client timeout. */
    public void delayRequests(int count) {
        mDelayedRequests += count;
    }

    /** Ends all faults. */
    public void clearFaults() {
        outage(false);
        mLoseReplies = 0;
        mLoseRequests = 0;
        mDelayedRequests = 0;
    }

    public int reads() {
        return mReads;
    }

    public int writes() {
        return mWrites;
    }

    /** Returns the keys that start with the prefix. */
    public List<String> keys(String prefix) {
        return mValues.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private static KeyValueException failure(String message) {
        return new KeyValueException(message, false, null);
    }

    private TransactionResult apply(Transaction transaction) {
        mWrites++;
        if (!transaction.conditions().stream().allMatch(this::holds)) {
            return new TransactionResult(false, mRevision);
        }
        mRevision++;
        for (Write write : transaction.writes()) {
            if (write instanceof Write.DeleteRange delete) {
                mValues.subMap(delete.from(), delete.to()).clear();
            } else if (write instanceof Write.Put put) {
                put(put);
            }
        }
        return new TransactionResult(true, mRevision);
    }

    private void put(Write.Put put) {
        KeyValue old = mValues.get(put.key());
        long created = old == null ? mRevision : old.createRevision();
        KeyValue value = new KeyValue(put.key(), put.value(), mRevision, created);
        mValues.put(put.key(), value);
        mObservers.forEach(observer -> observer.accept(value));
        for (Watcher watcher : List.copyOf(mWatchers)) {
            if (put.key().startsWith(watcher.prefix())) {
                mClock.schedule(
                        latency(),
                        () -> watcher.process().deliver(() -> watcher.emitter().emit(value)));
            }
        }
    }

    private boolean holds(Condition condition) {
        KeyValue value = mValues.get(condition.key());
        if (condition instanceof Condition.AtRevision at) {
            return (value == null ? 0 : value.modRevision()) == at.modRevision();
        }
        return value == null;
    }

    private Duration latency() {
        return Duration.ofMillis(1 + mRandom.nextInt(MAX_LATENCY_MILLIS));
    }

    /** Client of one process. */
    private final class Client implements KeyValueStore {

        private final SimulatedProcess mProcess;

        Client(SimulatedProcess process) {
            mProcess = process;
        }

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            return call(false, () -> Optional.ofNullable(mValues.get(key)));
        }

        @Override
        public CompletableFuture<List<KeyValue>> readRange(String from, String to, int limit) {
            return call(
                    false, () -> mValues.subMap(from, to).values().stream().limit(limit).toList());
        }

        @Override
        public CompletableFuture<TransactionResult> commit(Transaction transaction) {
            return call(true, () -> apply(transaction));
        }

        @Override
        public CompletableFuture<Long> grantLease(Duration timeToLive) {
            return call(true, () -> ++mLeases);
        }

        @Override
        public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
            return call(true, () -> null);
        }

        @Override
        public Multi<KeyValue> watch(String prefix) {
            return Multi.createFrom()
                    .emitter(
                            emitter -> {
                                if (mOutage) {
                                    emitter.fail(failure("outage"));
                                } else {
                                    mWatchers.add(new Watcher(prefix, mProcess, emitter));
                                }
                            });
        }

        private <T> CompletableFuture<T> call(boolean write, Supplier<T> action) {
            CompletableFuture<T> reply = new CompletableFuture<>();
            mClock.schedule(
                    CLIENT_TIMEOUT,
                    () -> mProcess.deliver(() -> reply.completeExceptionally(failure("timeout"))));
            if (mLoseRequests > 0) {
                mLoseRequests--;
                return reply;
            }
            Duration delay = latency();
            if (mDelayedRequests > 0) {
                mDelayedRequests--;
                delay = CLIENT_TIMEOUT.plusMillis(mRandom.nextInt(MAX_EXTRA_DELAY_MILLIS));
            }
            mClock.schedule(delay, () -> arrive(write, action, reply));
            return reply;
        }

        private <T> void arrive(boolean write, Supplier<T> action, CompletableFuture<T> reply) {
            if (mOutage) {
                mProcess.deliver(() -> reply.completeExceptionally(failure("outage")));
                return;
            }
            mReads += write ? 0 : 1;
            T result = action.get();
            if (write && mLoseReplies > 0) {
                mLoseReplies--;
            } else {
                mClock.schedule(latency(), () -> mProcess.deliver(() -> reply.complete(result)));
            }
        }
    }
}
