package org.tanagergap.state.intent;

import java.util.List;
import org.tanagergap.platform.keyvalue.Condition;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;

/**
 * Batch whose write has been started and whose result is not known yet. Until the result is known,
 * the same transaction is retried unchanged, because an earlier request may still be applied.
 *
 * @param number number of the record to create
 * @param floorRevision revision of the floor key that the transaction requires
 * @param record record that contains the events
 * @param events events of the record, with their callers' futures
 */
record UnconfirmedBatch(
        long number, long floorRevision, IntentRecord record, List<PendingEvent> events) {

    Transaction transaction(ShardKeys keys) {
        return new Transaction(
                List.of(
                        new Condition.Absent(keys.record(number)),
                        new Condition.AtRevision(keys.floor(), floorRevision)),
                List.of(new Write.Put(keys.record(number), IntentRecordJson.encode(record))));
    }
}
