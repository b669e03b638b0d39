package org.tanagergap.state.intent;

import java.util.Optional;
import org.tanagergap.api.time.RuntimeClock;

/** Answers events that need no record, from the copy of the shard's log. */
final class EventDecider {

    private final ShardReplica mReplica;
    private final RuntimeClock mClock;

    EventDecider(ShardReplica replica, RuntimeClock clock) {
        mReplica = replica;
        mClock = clock;
    }

    /** Completes an event that needs no record; returns whether it was completed. */
    boolean decide(PendingEvent pending) {
        IntentEvent event = pending.event();
        Optional<IntentEntry> entry = mReplica.table().find(event.key());
        if (pending.expired(mClock)) {
            pending.failUnconfirmed();
            return true;
        }
        if (event instanceof IntentEvent.Intent intent) {
            entry.ifPresent(e -> answerRepeat(pending, intent, e));
            return entry.isPresent();
        }
        boolean held = entry.filter(e -> e.heldBy(event.attempt())).isPresent();
        boolean answered = held && entry.get().outcomeNumber().isPresent();
        boolean outcome = event instanceof IntentEvent.Outcome;
        if (held && !answered) {
            return false;
        }
        if (held == outcome) {
            // Recorded before, or abandoned before.
            pending.complete(new IntentDecision.Granted());
        } else {
            pending.fail(
                    new IllegalStateException(
                            "attempt " + event.attempt() + " does not hold an open intent"));
        }
        return true;
    }

    private void answerRepeat(PendingEvent pending, IntentEvent.Intent intent, IntentEntry entry) {
        if (!entry.bodyHash().equals(intent.bodyHash())) {
            pending.complete(new IntentDecision.KeyConflict());
        } else if (entry.outcomeNumber().isPresent()) {
            mReplica.answer(intent.key(), entry.outcomeNumber().getAsLong())
                    .whenComplete((answer, failure) -> replay(pending, answer, failure));
        } else if (entry.deadlineNanos() - mClock.nanoTime() <= 0) {
            pending.complete(new IntentDecision.OutcomeUnknown());
        } else {
            pending.complete(new IntentDecision.InProgress());
        }
    }

    private static void replay(
            PendingEvent pending, Optional<RecordedResponse> answer, Throwable failure) {
        if (failure != null) {
            pending.failUnconfirmed();
        } else {
            // The record is gone only when the retention has just ended.
            pending.complete(
                    answer.<IntentDecision>map(IntentDecision.Replay::new)
                            .orElseGet(IntentDecision.OutcomeUnknown::new));
        }
    }
}
