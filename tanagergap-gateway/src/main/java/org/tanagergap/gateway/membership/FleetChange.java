package org.tanagergap.gateway.membership;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.gateway.configuration.GatewayConfiguration;

/** Change of the fleet that an item of the platform's store describes. */
public sealed interface FleetChange {

    /** A configuration that was accepted. */
    record ConfigurationAccepted(GatewayConfiguration configuration) implements FleetChange {}

    /**
     * The entry of an upstream that was written or removed.
     *
     * @param id identifier of the upstream
     * @param upstream the upstream; empty if its entry was removed or is invalid
     * @param invalidReason why the entry is invalid
     * @param coldRemaining time for which the upstream stays cold; zero if it is warm
     */
    record UpstreamEntry(
            String id,
            Optional<Upstream> upstream,
            Optional<String> invalidReason,
            Duration coldRemaining)
            implements FleetChange {

        /** Creates the entry of a warm upstream, or one that was removed or is invalid. */
        public UpstreamEntry(
                String id, Optional<Upstream> upstream, Optional<String> invalidReason) {
            this(id, upstream, invalidReason, Duration.ZERO);
        }
    }

    /**
     * An order of the operator to drain a failure domain or to use it again.
     *
     * @param domain name of the failure domain
     * @param drained true from the order until its end
     */
    record DomainDrain(String domain, boolean drained) implements FleetChange {}

    /** An item that cannot be decoded. */
    record InvalidItem(String key, String reason) implements FleetChange {}

    /** An item that does not concern the gateway. */
    record Irrelevant() implements FleetChange {}
}
