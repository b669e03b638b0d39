package org.tanagergap.gateway.membership;

import java.time.Duration;

/**
 * Where an update of the local replica came from.
 *
 * @param sender the store or the address of a peer
 * @param sincePrevious time since the update before it
 */
record UpdateSource(String sender, Duration sincePrevious) {

    static final String STORE = "the store";
}
