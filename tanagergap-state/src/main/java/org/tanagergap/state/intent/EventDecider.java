package org.tanagergap.state.intent;

import java.util.Optional;
import org.tanagergap.api.time.RuntimeClock;

/** Completes events that need no record, based on the local replica of the shard's log. */
final class EventDecider {

    private final ShardReplica mReplica;
    private final RuntimeClock mClock;

    EventDecider(ShardReplica replica, RuntimeClock clock) {
        mReplica = replica;
        mClock = clock;
    }

    /**
     * Completes an event that needs no record.
     *
     * @return true if the event was completed, false if it must be recorded
     */
    boolean completeWithoutRecord(PendingEvent pending) {
        IntentEvent event = pending.event();
        Optional<IntentEntry> entry = mReplica.table().find(event.key());
        if (pending.expired(mClock)) {
            pending.failUnconfirmed();
            return true;
        }
        if (event instanceof IntentEvent.Intent intent) {
            entry.ifPresent(e -> completeRepeat(pending, intent, e));
            return entry.isPresent();
        }
        boolean owned = entry.filter(e -> e.ownedBy(event.attempt())).isPresent();
        boolean hasOutcome = owned && entry.get().outcomeNumber().isPresent();
        boolean isOutcome = event instanceof IntentEvent.Outcome;
        if (owned && !hasOutcome) {
            return false;
        }
        if (owned == isOutcome) {
            // The outcome or the abandonment has already been recorded.
            pending.complete(new IntentDecision.Granted());
        } else {
            pending.fail(
                    new IllegalStateException(
                            "attempt " + event.attempt() + " owns no open intent for its key"));
        }
        return true;
    }

    private void completeRepeat(
            PendingEvent pending, IntentEvent.Intent intent, IntentEntry entry) {
        if (!entry.bodyHash().equals(intent.bodyHash())) {
            pending.complete(new IntentDecision.KeyConflict());
        } else if (entry.outcomeNumber().isPresent()) {
            mReplica.readResponse(intent.key(), entry.outcomeNumber().getAsLong())
                    .whenComplete((response, failure) -> replay(pending, response, failure));
        } else if (entry.deadlineNanos() - mClock.nanoTime() <= 0) {
            pending.complete(new IntentDecision.OutcomeUnknown());
        } else {
            pending.complete(new IntentDecision.InProgress());
        }
    }

    private static void replay(
            PendingEvent pending, Optional<RecordedResponse> response, Throwable failure) {
        if (failure != null) {
            pending.failUnconfirmed();
        } else {
            // The record is missing only if its retention has just ended.
            pending.complete(
                    response.<IntentDecision>map(IntentDecision.Replay::new)
                            .orElseGet(IntentDecision.OutcomeUnknown::new));
        }
    }
}
