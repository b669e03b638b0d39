package org.tanagergap.state.intent;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.MoreExecutors;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.TransactionResult;

/**
 * Writer of one shard. All mutable state is confined to a serial executor. Each round reads the
 * records of other writers, completes the events that need no record, and writes one batch.
 */
final class ShardLog {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final ShardKeys mKeys;
    private final KeyValueStore mStore;
    private final RuntimeClock mClock;
    private final IntentLogSettings mSettings;
    private final Executor mSerial =
            MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor());
    private final ShardReplica mReplica;
    private final EventDecider mDecider;
    private final Deque<PendingEvent> mPending = new ArrayDeque<>();
    private Optional<UnconfirmedBatch> mUnconfirmed = Optional.empty();
    private boolean mRoundRunning;
    private boolean mWakeScheduled;
    private boolean mRetriedImmediately;
    private long mNextRoundNanos;
    private long mNextCompactionNanos;
    private long mBatchCount;
    private int mFailures;

    ShardLog(ShardKeys keys, KeyValueStore store, RuntimeClock clock, IntentLogSettings settings) {
        mKeys = keys;
        mStore = store;
        mClock = clock;
        mSettings = settings;
        mReplica = new ShardReplica(keys, store, clock, mSerial, settings, this::resolveFromRecord);
        mDecider = new EventDecider(mReplica, clock);
        mNextRoundNanos = clock.nanoTime();
        mNextCompactionNanos = clock.nanoTime() + settings.compactionInterval().toNanos();
    }

    /** Requests a decision on an intent. */
    CompletableFuture<IntentDecision> begin(IntentEvent.Intent intent, Duration timeout) {
        PendingEvent pending = new PendingEvent(intent, mClock.nanoTime(), timeout);
        mSerial.execute(() -> enqueue(pending));
        return pending.result();
    }

    /**
     * Records an outcome or an abandonment. Writing is retried until the retention ends, because an
     * outage may be long; the returned future fails after the shorter {@code recordTimeout}.
     */
    CompletableFuture<Void> record(IntentEvent event) {
        PendingEvent pending = new PendingEvent(event, mClock.nanoTime(), mSettings.retention());
        mSerial.execute(() -> enqueue(pending));
        CompletableFuture<Void> recorded = pending.result().thenAccept(ignored -> {});
        Timer timer =
                mClock.schedule(
                        mSettings.recordTimeout(),
                        () -> recorded.completeExceptionally(pending.unconfirmed()));
        recorded.whenComplete((ignored, failure) -> timer.cancel());
        return recorded;
    }

    private void enqueue(PendingEvent pending) {
        if (mPending.size() >= IntentLogSettings.MAX_PENDING
                && pending.event() instanceof IntentEvent.Intent) {
            pending.fail(RequestFailure.notRun(FailureCode.UNAVAILABLE, "the intent log is full"));
            return;
        }
        mPending.addLast(pending);
        pending.startTimer(mClock, () -> mSerial.execute(() -> expire(pending)));
        startRoundIfDue();
    }

    private void expire(PendingEvent pending) {
        pending.failUnconfirmed();
        if (!pending.inBatch()) {
            mPending.remove(pending);
        }
    }

    /** Starts the next round if there is work, no round is running and the interval has passed. */
    private void startRoundIfDue() {
        if (mRoundRunning || (mPending.isEmpty() && mUnconfirmed.isEmpty())) {
            return;
        }
        long wait = mNextRoundNanos - mClock.nanoTime();
        if (wait > 0) {
            if (!mWakeScheduled) {
                mWakeScheduled = true;
                mClock.schedule(Duration.ofNanos(wait), () -> mSerial.execute(this::wake));
            }
            return;
        }
        mRoundRunning = true;
        mNextRoundNanos = mClock.nanoTime() + mSettings.writeInterval().toNanos();
        round().whenCompleteAsync((ignored, failure) -> endRound(failure), mSerial);
    }

    private void wake() {
        mWakeScheduled = false;
        startRoundIfDue();
    }

    private void endRound(Throwable failure) {
        mRoundRunning = false;
        if (failure == null) {
            mFailures = 0;
        } else {
            Duration backoff = FIRST_BACKOFF.multipliedBy(1L << mFailures);
            mFailures = Math.min(MAX_BACKOFF_DOUBLINGS, mFailures + 1);
            mNextRoundNanos = mClock.nanoTime() + backoff.toNanos();
            sLogger.atFine().withCause(failure).log(
                    "shard %d of the intent log of service %s failed; next round in %d ms",
                    mKeys.shard(), mKeys.service(), backoff.toMillis());
        }
        startRoundIfDue();
    }

    private CompletableFuture<Void> round() {
        if (mUnconfirmed.isPresent()) {
            return write(mUnconfirmed.get());
        }
        if (mReplica.canAppend() && mNextCompactionNanos - mClock.nanoTime() <= 0) {
            mNextCompactionNanos = mClock.nanoTime() + mSettings.compactionInterval().toNanos();
            return mReplica.compact().thenComposeAsync(ignored -> readAndWrite(), mSerial);
        }
        return readAndWrite();
    }

    private CompletableFuture<Void> readAndWrite() {
        CompletableFuture<Void> read =
                mReplica.canAppend() && !hasPendingRepeats()
                        ? CompletableFuture.completedFuture(null)
                        : mReplica.refresh();
        return read.thenComposeAsync(ignored -> decideAndWrite(), mSerial);
    }

    /** Repeated intents need a read, because the owner of the key may have abandoned it since. */
    private boolean hasPendingRepeats() {
        return mPending.stream()
                .map(PendingEvent::event)
                .filter(IntentEvent.Intent.class::isInstance)
                .anyMatch(intent -> mReplica.table().find(intent.key()).isPresent());
    }

    private CompletableFuture<Void> decideAndWrite() {
        // Events of a key are processed in order: each waits until the previous one is recorded.
        Set<IntentKey> undecided = new HashSet<>();
        for (PendingEvent pending : List.copyOf(mPending)) {
            IntentKey key = pending.event().key();
            if (!undecided.contains(key) && mDecider.completeWithoutRecord(pending)) {
                mPending.remove(pending);
            } else {
                undecided.add(key);
            }
        }
        List<PendingEvent> events = takeBatch();
        if (events.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        IntentRecord record =
                new IntentRecord(
                        mSettings.writerId() + "-" + mBatchCount++,
                        mClock.now().toEpochMilli(),
                        events.stream().map(PendingEvent::event).toList());
        UnconfirmedBatch batch =
                new UnconfirmedBatch(
                        mReplica.nextNumber(), mReplica.floorRevision(), record, events);
        mUnconfirmed = Optional.of(batch);
        return write(batch);
    }

    /** Removes the next batch from the queue: at most one event per key, up to the size limit. */
    private List<PendingEvent> takeBatch() {
        List<PendingEvent> batch = new ArrayList<>();
        Set<IntentKey> keys = new HashSet<>();
        int bytes = 0;
        for (PendingEvent pending : List.copyOf(mPending)) {
            if (bytes + pending.sizeBytes() > IntentLogSettings.MAX_BATCH_BYTES) {
                break;
            }
            if (keys.add(pending.event().key())) {
                bytes += pending.sizeBytes();
                batch.add(pending);
                pending.inBatch(true);
            }
        }
        mPending.removeAll(batch);
        return batch;
    }

    private CompletableFuture<Void> write(UnconfirmedBatch batch) {
        return mStore.commit(batch.transaction(mKeys))
                .thenComposeAsync(result -> handleResult(batch, result), mSerial);
    }

    private CompletableFuture<Void> handleResult(UnconfirmedBatch batch, TransactionResult result) {
        if (result.succeeded()) {
            mReplica.append(batch.number(), batch.record());
            mRetriedImmediately = false;
            confirm(batch);
            return CompletableFuture.completedFuture(null);
        }
        return mReplica.refresh()
                .thenComposeAsync(ignored -> readFloorIfUnconfirmed(batch), mSerial)
                .thenRunAsync(() -> requeueIfFloorChanged(batch), mSerial);
    }

    /** A write that was rejected although its number is free was rejected because of the floor. */
    private CompletableFuture<Void> readFloorIfUnconfirmed(UnconfirmedBatch batch) {
        if (mUnconfirmed.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        mReplica.invalidateFloor();
        return mReplica.refresh();
    }

    /**
     * Requeues the batch if the floor has changed: in-flight duplicates of the transaction require
     * the old floor and can no longer take effect. A record that compaction has deleted is as old
     * as the retention, so the callers of its intents have long been refused.
     */
    private void requeueIfFloorChanged(UnconfirmedBatch batch) {
        if (mUnconfirmed.isPresent() && batch.floorRevision() != mReplica.floorRevision()) {
            requeue(batch);
        }
    }

    /** Confirms or requeues the unconfirmed batch when a record with its number is read. */
    private void resolveFromRecord(long number, IntentRecord record) {
        mUnconfirmed
                .filter(batch -> batch.number() == number)
                .ifPresent(
                        batch -> {
                            if (batch.record().nonce().equals(record.nonce())) {
                                confirm(batch);
                            } else {
                                requeue(batch);
                            }
                        });
    }

    private void confirm(UnconfirmedBatch batch) {
        mUnconfirmed = Optional.empty();
        for (PendingEvent pending : batch.events()) {
            if (pending.event() instanceof IntentEvent.Intent intent && pending.expired(mClock)) {
                pending.failUnconfirmed();
                enqueue(abandonment(intent));
            } else {
                pending.complete(new IntentDecision.Granted());
            }
        }
    }

    /** The caller has received {@code NOT_RUN}, so the key must become available again. */
    private PendingEvent abandonment(IntentEvent.Intent intent) {
        return new PendingEvent(
                new IntentEvent.Abandonment(intent.key(), intent.attempt()),
                mClock.nanoTime(),
                mSettings.retention());
    }

    /** Another writer has used the number; the events go back to the front of the queue. */
    private void requeue(UnconfirmedBatch batch) {
        mUnconfirmed = Optional.empty();
        for (int i = batch.events().size() - 1; i >= 0; i--) {
            PendingEvent pending = batch.events().get(i);
            pending.inBatch(false);
            if (pending.expired(mClock)) {
                pending.failUnconfirmed();
            } else {
                mPending.addFirst(pending);
            }
        }
        // With equal intervals, a writer could otherwise lose to the same other writer every time.
        if (!mRetriedImmediately) {
            mNextRoundNanos = mClock.nanoTime();
        }
        mRetriedImmediately = !mRetriedImmediately;
    }
}
