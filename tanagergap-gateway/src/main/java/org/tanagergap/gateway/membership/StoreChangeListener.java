package org.tanagergap.gateway.membership;

import org.tanagergap.platform.keyvalue.KeyValue;

/** Receives what the store says to other components than the fleet view. */
public interface StoreChangeListener {

    /** Called for each changed item, also if it does not concern the fleet. */
    void itemChanged(KeyValue item);

    /** Called when the store was restored from a backup and has lost writes and leases. */
    void storeRestored();
}
