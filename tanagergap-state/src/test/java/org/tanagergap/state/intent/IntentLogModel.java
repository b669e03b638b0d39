package org.tanagergap.state.intent;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.state.fake.FakeKeyValueStore;
import org.tanagergap.state.fake.SimulatedProcess;
import org.tanagergap.testing.PausedClock;

/** Model of several writers of one intent log on a faulty store, with its test oracle. */
final class IntentLogModel {

    static final int WRITERS = 3;
    static final int KEYS = 5;

    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final Duration TIME_TO_DEADLINE = Duration.ofSeconds(20);

    // The retention counts from when a batch is built, up to the confirm timeout before the grant.
    private static final Duration RETENTION_SLACK = Duration.ofSeconds(5);

    private final PausedClock mClock = new PausedClock();
    private final FakeKeyValueStore mStore = new FakeKeyValueStore(mClock);
    private final List<Writer> mWriters = new ArrayList<>();
    private final Map<IntentKey, Grant> mOpenGrants = new HashMap<>();
    private final Set<IntentKey> mPossiblyOwned = new HashSet<>();
    private final List<Throwable> mViolations = new ArrayList<>();
    private int mAttempts;
    private int mWriterCount;

    IntentLogModel() {
        for (int i = 0; i < WRITERS; i++) {
            mWriters.add(newWriter());
        }
    }

    private record Writer(
            SimulatedProcess process, KeyValueIntentLog log, AtomicInteger undecided) {}

    /** Grant that was not abandoned; {@code confirmed} once its outcome has been recorded. */
    private record Grant(
            AttemptId attempt, Writer writer, long nanos, boolean outcomeSent, boolean confirmed) {

        Grant withOutcome(boolean isConfirmed) {
            return new Grant(attempt, writer, nanos, true, isConfirmed);
        }
    }

    void begin(int writerIndex, int keyNumber, String bodyHash) {
        Writer writer = mWriters.get(writerIndex);
        if (!writer.process().running()) {
            return;
        }
        IntentKey key = key(keyNumber);
        AttemptId attempt = new AttemptId("a" + mAttempts++);
        boolean outcomeConfirmed =
                Optional.ofNullable(mOpenGrants.get(key)).filter(Grant::confirmed).isPresent();
        long started = mClock.nanoTime();
        writer.undecided().incrementAndGet();
        writer.log()
                .begin(key, bodyHash, attempt, TIME_TO_DEADLINE)
                .whenComplete(
                        (decision, failure) ->
                                collectViolation(
                                        () -> {
                                            writer.undecided().decrementAndGet();
                                            if (failure != null) {
                                                checkFailure(failure);
                                            } else {
                                                checkDecision(writer, key, attempt, decision);
                                                checkReplay(
                                                        key, decision, outcomeConfirmed, started);
                                            }
                                        }));
    }

    void recordOutcome(int keyNumber) {
        IntentKey key = key(keyNumber);
        Grant grant = mOpenGrants.get(key);
        if (grant == null || grant.outcomeSent() || !grant.writer().process().running()) {
            return;
        }
        mOpenGrants.put(key, grant.withOutcome(false));
        grant.writer()
                .log()
                .recordOutcome(key, grant.attempt(), responseOf(grant.attempt()))
                .whenComplete((ignored, failure) -> confirmOutcome(key, grant, failure));
    }

    void abandon(int keyNumber) {
        IntentKey key = key(keyNumber);
        Grant grant = mOpenGrants.get(key);
        if (grant == null || grant.outcomeSent() || !grant.writer().process().running()) {
            return;
        }
        mOpenGrants.remove(key);
        grant.writer()
                .log()
                .abandon(key, grant.attempt())
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                mPossiblyOwned.add(key);
                            }
                        });
    }

    void pause(int writerIndex) {
        mWriters.get(writerIndex).process().pause();
    }

    void resume(int writerIndex) {
        mWriters.get(writerIndex).process().resume();
    }

    /** Replaces the writer; intents that only it could have abandoned stay in the log. */
    void crash(int writerIndex) {
        mWriters.get(writerIndex).process().crash();
        mWriters.set(writerIndex, newWriter());
        for (int i = 0; i < KEYS; i++) {
            mPossiblyOwned.add(key(i));
        }
    }

    FakeKeyValueStore store() {
        return mStore;
    }

    void advance(Duration duration) {
        mClock.advance(duration);
    }

    void checkInvariant() {
        if (!mViolations.isEmpty()) {
            throw new AssertionError("violated", mViolations.get(0));
        }
    }

    /** After all faults end, every available key can be granted again. */
    void checkRecovery() {
        mStore.clearFaults();
        mWriters.forEach(writer -> writer.process().resume());
        advance(Duration.ofSeconds(30));
        for (Writer writer : mWriters) {
            assertWithMessage("undecided begins").that(writer.undecided().get()).isEqualTo(0);
        }
        Writer reader = newWriter();
        for (int i = 0; i < KEYS; i++) {
            IntentKey key = key(i);
            if (!mOpenGrants.containsKey(key) && !mPossiblyOwned.contains(key)) {
                AttemptId attempt = new AttemptId("r" + i);
                var decision = reader.log().begin(key, "h0", attempt, TIME_TO_DEADLINE);
                advance(Duration.ofSeconds(3));
                assertThat(decision.getNow(null)).isEqualTo(new IntentDecision.Granted());
            }
        }
        checkInvariant();
    }

    private Writer newWriter() {
        SimulatedProcess process = new SimulatedProcess(mClock);
        IntentLogSettings settings =
                new IntentLogSettings(
                        "w" + mWriterCount++,
                        2,
                        Duration.ofMillis(40),
                        Duration.ofSeconds(2),
                        Duration.ofMinutes(1),
                        RETENTION,
                        Duration.ofSeconds(30));
        return new Writer(
                process,
                new KeyValueIntentLog(mStore.connect(process), process, settings),
                new AtomicInteger());
    }

    private static IntentKey key(int number) {
        return new IntentKey("orders", "workspace", "key-" + number);
    }

    private static RecordedResponse responseOf(AttemptId attempt) {
        return new RecordedResponse(201, "text/plain", Optional.of("answer to " + attempt));
    }

    private void checkDecision(
            Writer writer, IntentKey key, AttemptId attempt, IntentDecision decision) {
        Grant open = mOpenGrants.get(key);
        if (decision instanceof IntentDecision.Granted) {
            assertWithMessage("%s is granted to %s while another grant is open", key, attempt)
                    .that(open == null || retentionIsOver(open))
                    .isTrue();
            mOpenGrants.put(key, new Grant(attempt, writer, mClock.nanoTime(), false, false));
            mPossiblyOwned.remove(key);
        } else if (decision instanceof IntentDecision.Replay replay) {
            assertWithMessage("%s replays a response although none was recorded", key)
                    .that(open != null && open.outcomeSent())
                    .isTrue();
            assertThat(replay.response()).isEqualTo(responseOf(open.attempt()));
        }
    }

    /** A confirmed response is replayed by every writer. */
    private void checkReplay(
            IntentKey key, IntentDecision decision, boolean outcomeConfirmed, long started) {
        Grant open = mOpenGrants.get(key);
        boolean kept = open != null && open.confirmed() && open.nanos() < started;
        if (outcomeConfirmed && kept && !retentionIsOver(open)) {
            boolean expected =
                    decision instanceof IntentDecision.Replay
                            || decision instanceof IntentDecision.KeyConflict;
            assertWithMessage("%s returns %s after its outcome was confirmed", key, decision)
                    .that(expected)
                    .isTrue();
        }
    }

    private void checkFailure(Throwable failure) {
        assertThat(failure).isInstanceOf(RequestFailure.class);
        RequestFailure refusal = (RequestFailure) failure;
        assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
        assertThat(refusal.code()).isEqualTo(FailureCode.UNAVAILABLE);
    }

    private void confirmOutcome(IntentKey key, Grant grant, Throwable failure) {
        Grant open = mOpenGrants.get(key);
        if (failure == null && open != null && open.attempt().equals(grant.attempt())) {
            mOpenGrants.put(key, open.withOutcome(true));
        }
    }

    private boolean retentionIsOver(Grant grant) {
        Duration age = Duration.ofNanos(mClock.nanoTime() - grant.nanos());
        return age.compareTo(RETENTION.minus(RETENTION_SLACK)) >= 0;
    }

    /** Collects violations, because futures would swallow them. */
    private void collectViolation(Runnable assertion) {
        try {
            assertion.run();
        } catch (AssertionError e) {
            mViolations.add(e);
        }
    }
}
