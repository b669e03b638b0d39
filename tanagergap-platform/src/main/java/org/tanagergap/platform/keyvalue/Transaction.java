package org.tanagergap.platform.keyvalue;

import java.util.List;

/**
 * Atomic conditional write.
 *
 * @param conditions conditions that must all hold
 * @param writes writes that are applied in order if the conditions hold
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }
}
