package org.tanagergap.state.intent;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.Condition;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;
import org.tanagergap.runtime.log.MalformedItemLog;

/** In-memory replica of one shard's log; confined to a serial executor. */
final class ShardReplica {

    private static final int RECORDS_PER_READ = 16;
    private static final long UNKNOWN = -1;

    /** A store restored from a backup lacks fewer; the design has millions of records a day. */
    private static final long MAX_LOST_RECORDS = 1_000_000_000;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ShardKeys mKeys;
    private final KeyValueStore mStore;
    private final RuntimeClock mClock;
    private final Executor mSerial;
    private final IntentTable mTable;
    private final BiConsumer<Long, IntentRecord> mObserver;
    private final MalformedItemLog mMalformed = new MalformedItemLog("intent log");
    private long mFloor;
    private long mFloorRevision = UNKNOWN;
    private long mNextNumber;
    private boolean mReadOnce;

    /**
     * Creates an empty replica.
     *
     * @param observer called with the number and the contents of each record read from the store,
     *     after it has been merged
     */
    ShardReplica(
            ShardKeys keys,
            KeyValueStore store,
            RuntimeClock clock,
            Executor serial,
            IntentLogSettings settings,
            BiConsumer<Long, IntentRecord> observer) {
        mKeys = keys;
        mStore = store;
        mClock = clock;
        mSerial = serial;
        mTable = new IntentTable(settings.retention().toMillis());
        mObserver = observer;
    }

    IntentTable table() {
        return mTable;
    }

    /** Number of the next record to create. */
    long nextNumber() {
        return mNextNumber;
    }

    long floor() {
        return mFloor;
    }

    long floorRevision() {
        return mFloorRevision;
    }

    /** Returns true if a record may be appended without reading first. */
    boolean canAppend() {
        return mReadOnce && mFloorRevision != UNKNOWN;
    }

    /** Causes the next {@link #refresh} to read the floor again. */
    void invalidateFloor() {
        mFloorRevision = UNKNOWN;
    }

    /** Applies a record that this process has created. */
    void append(long number, IntentRecord record) {
        mTable.merge(number, record, mClock.nanoTime());
        mNextNumber = number + 1;
    }

    /** Reads all records that have not been read yet, and the floor if it is unknown. */
    CompletableFuture<Void> refresh() {
        if (mFloorRevision != UNKNOWN) {
            return readRecords();
        }
        // The floor is read before the records: if it changes in between, the next write fails.
        return mStore.read(mKeys.floor())
                .thenAcceptAsync(this::acceptFloor, mSerial)
                .thenComposeAsync(ignored -> readRecords(), mSerial);
    }

    /** Deletes records older than the retention; completes with true if there were any. */
    CompletableFuture<Boolean> compact() {
        long keep = mTable.retentionFloor(mFloor, mClock.now().toEpochMilli());
        if (keep <= mFloor) {
            return CompletableFuture.completedFuture(false);
        }
        Transaction transaction =
                new Transaction(
                        List.of(new Condition.AtRevision(mKeys.floor(), mFloorRevision)),
                        List.of(
                                new Write.DeleteRange(mKeys.record(mFloor), mKeys.record(keep)),
                                new Write.Put(mKeys.floor(), Long.toString(keep))));
        // Whatever the result, the floor must be read again before the next write.
        invalidateFloor();
        return mStore.commit(transaction).thenApply(ignored -> true);
    }

    /** Reads the response that the outcome record contains for the key. */
    CompletableFuture<Optional<RecordedResponse>> readResponse(IntentKey key, long outcomeNumber) {
        return mStore.read(mKeys.record(outcomeNumber))
                .thenApply(value -> value.flatMap(v -> outcomeIn(v, key)));
    }

    private Optional<RecordedResponse> outcomeIn(KeyValue value, IntentKey key) {
        return decode(value).events().stream()
                .filter(IntentEvent.Outcome.class::isInstance)
                .map(IntentEvent.Outcome.class::cast)
                .filter(outcome -> outcome.key().equals(key))
                .map(IntentEvent.Outcome::response)
                .findFirst();
    }

    private void acceptFloor(Optional<KeyValue> floor) {
        mFloor = floor.map(KeyValue::value).map(Long::parseLong).orElse(0L);
        mFloorRevision = floor.map(KeyValue::modRevision).orElse(0L);
        mNextNumber = Math.max(mNextNumber, mFloor);
        mTable.removeBelow(mFloor);
    }

    private CompletableFuture<Void> readRecords() {
        return readRecords(mKeys.record(mNextNumber));
    }

    private CompletableFuture<Void> readRecords(String from) {
        return mStore.readRange(from, mKeys.recordsEnd(), RECORDS_PER_READ)
                .thenComposeAsync(this::acceptRecords, mSerial);
    }

    private CompletableFuture<Void> acceptRecords(List<KeyValue> values) {
        for (KeyValue value : values) {
            OptionalLong number = mKeys.number(value.key());
            if (number.isEmpty() || number.getAsLong() - mNextNumber > MAX_LOST_RECORDS) {
                mMalformed.skipped(value.key(), "the key is not that of a record");
                continue;
            }
            if (number.getAsLong() != mNextNumber) {
                return skipDeleted(number.getAsLong());
            }
            IntentRecord record = decodeOrSkip(value);
            append(number.getAsLong(), record);
            mObserver.accept(number.getAsLong(), record);
        }
        if (values.size() == RECORDS_PER_READ) {
            // The smallest key after the last one, which need not be that of a record.
            return readRecords(values.get(values.size() - 1).key() + '\0');
        }
        mReadOnce = true;
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Decodes a record; a value that no writer creates counts as a record without events. A damaged
     * record of a writer fails, because its key could be granted again after its call has run.
     */
    private IntentRecord decodeOrSkip(KeyValue value) {
        try {
            return decode(value);
        } catch (RuntimeException e) {
            if (IntentRecordJson.hasNonce(value.value())) {
                sLogger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                        "record %s is damaged; its shard grants no calls: %s", value.key(), e);
                throw e;
            }
            mMalformed.skipped(value.key(), e.toString());
            return new IntentRecord("", mClock.now().toEpochMilli(), List.of());
        }
    }

    /** Numbers can be missing only because another writer has raised the floor above them. */
    private CompletableFuture<Void> skipDeleted(long found) {
        long missing = mNextNumber;
        invalidateFloor();
        return mStore.read(mKeys.floor())
                .thenAcceptAsync(this::acceptFloor, mSerial)
                .thenComposeAsync(
                        ignored -> {
                            if (mNextNumber == missing) {
                                throw new IllegalStateException(
                                        "record "
                                                + missing
                                                + " is missing, but record "
                                                + found
                                                + " exists");
                            }
                            return readRecords();
                        },
                        mSerial);
    }

    private IntentRecord decode(KeyValue value) {
        return IntentRecordJson.decode(mKeys.service(), value.value());
    }
}
