package org.tanagergap.gateway;

import org.tanagergap.gateway.forward.Forwarder;
import org.tanagergap.gateway.forward.RateLimitGate;
import org.tanagergap.gateway.peer.PeerExchange;

/**
 * Forwards demand for permits to the exchange with peers, and received permits to the requests.
 *
 * @param exchange exchange with peers
 * @param forwarder forwarder of requests
 */
record GatewayPermitListener(PeerExchange exchange, Forwarder forwarder)
        implements RateLimitGate.Listener {

    @Override
    public void exchangeNeeded() {
        exchange.exchangePermitsSoon();
    }

    @Override
    public void capacityChanged() {
        forwarder.fleetChanged();
    }
}
