package org.tanagergap.gateway.membership;

import java.util.Optional;
import org.tanagergap.gateway.configuration.GatewayConfiguration;

/** What one item of the platform's store says. */
public sealed interface FleetChange {

    /** A configuration was accepted. */
    record ConfigurationAccepted(GatewayConfiguration configuration) implements FleetChange {}

    /**
     * An upstream described itself or was removed.
     *
     * @param id identifier of the upstream
     * @param upstream its description; empty when it is gone or names no usable upstream
     * @param damaged why a description is not usable
     */
    record UpstreamEntry(String id, Optional<Upstream> upstream, Optional<String> invalidReason)
            implements FleetChange {}

    /** The item could not be read. */
    record InvalidItem(String key, String reason) implements FleetChange {}

    /** The item is of no interest. */
    record Irrelevant() implements FleetChange {}
}
