package org.tanagergap.gateway;

import org.tanagergap.gateway.membership.StoreChangeListener;
import org.tanagergap.gateway.peer.PeerDirectory;
import org.tanagergap.gateway.peer.PeerRegistration;
import org.tanagergap.platform.keyvalue.KeyValue;

/**
 * Forwards changes of the store to the components that find peers.
 *
 * @param directory peers of this instance
 * @param registration registration of this instance
 */
record GatewayStoreListener(PeerDirectory directory, PeerRegistration registration)
        implements StoreChangeListener {

    @Override
    public void itemChanged(KeyValue item) {
        directory.accept(item);
    }

    @Override
    public void storeRestored() {
        registration.storeRestored();
    }
}
