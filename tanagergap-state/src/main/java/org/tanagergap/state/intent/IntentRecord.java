package org.tanagergap.state.intent;

import java.util.List;

/**
 * Batch record of a shard's log.
 *
 * @param nonce identifies the writer and its batch
 * @param writtenAtMillis wall-clock time at which the batch was built, for the retention
 * @param events at most one per key
 */
record IntentRecord(String nonce, long writtenAtMillis, List<IntentEvent> events) {

    IntentRecord {
        events = List.copyOf(events);
    }
}
