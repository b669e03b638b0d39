package org.tanagergap.gateway.membership;

import java.util.List;
import org.tanagergap.platform.keyvalue.KeyValue;

/** Decodes the items of the platform's store; implemented for each platform. */
public interface FleetDecoder {

    /** Prefixes of the keys that the gateway reads. */
    List<String> prefixes();

    /**
     * Prefix of the configuration and the drained failure domains, which decide who may run
     * requests. After a failed poll they are read before anything else.
     */
    String operatorPrefix();

    /** Decodes an item; never throws. */
    FleetChange decode(KeyValue item);
}
