package org.tanagergap.gateway;

import org.tanagergap.gateway.membership.FleetDecoder;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.LeasedStore;

/**
 * Components of the gateway that are specific to a platform.
 *
 * @param feed reads the changes of the store
 * @param store writes to the store and manages leases
 * @param decoder decodes the items of the store
 * @param wire headers and message bodies of callers and upstreams
 */
public record GatewayPlatform(
        ChangeFeed feed, LeasedStore store, FleetDecoder decoder, WireFormat wire) {}
