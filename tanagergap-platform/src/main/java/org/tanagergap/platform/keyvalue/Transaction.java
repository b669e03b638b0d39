package org.tanagergap.platform.keyvalue;

import java.util.List;

/**
 * Atomic conditional write.
 *
 * @param conditions must all hold
 * @param writes applied in order when the conditions hold
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }
}
