package org.tanagergap.state.intent;

import java.util.List;

/**
 * Record in a shard's log, containing a batch of events.
 *
 * @param nonce unique identifier of the writer and its batch
 * @param writtenAtMillis wall-clock time at which the batch was built, from which the retention
 *     counts
 * @param events at most one per key
 */
record IntentRecord(String nonce, long writtenAtMillis, List<IntentEvent> events) {

    IntentRecord {
        events = List.copyOf(events);
    }
}
