package org.tanagergap.gateway;

import org.tanagergap.gateway.membership.FleetDecoder;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.LeasedStore;

/**
 * What the gateway needs of a platform.
 *
 * @param feed changes of the store
 * @param store writes and leases of the store
 * @param decoder meaning of the store's items
 * @param wire headers and bodies of callers and upstreams
 */
public record GatewayPlatform(
        ChangeFeed feed, LeasedStore store, FleetDecoder decoder, WireFormat wire) {}
