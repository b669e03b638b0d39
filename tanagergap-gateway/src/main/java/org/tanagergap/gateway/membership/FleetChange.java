package org.tanagergap.gateway.membership;

import java.util.Optional;
import org.tanagergap.gateway.configuration.GatewayConfiguration;

/** What one item of the platform's store says. */
public sealed interface FleetChange {

    /** A configuration was accepted. */
    record Configured(GatewayConfiguration configuration) implements FleetChange {}

    /**
     * An upstream described itself or was removed.
     *
     * @param id identifier of the upstream
     * @param upstream its description; empty when it is gone or names no usable upstream
     * @param damaged why a description is not usable
     */
    record Member(String id, Optional<Upstream> upstream, Optional<String> damaged)
            implements FleetChange {}

    /** The item could not be read. */
    record Unreadable(String place, String reason) implements FleetChange {}

    /** The item is of no interest. */
    record Unrelated() implements FleetChange {}
}
