package org.tanagergap.gateway.membership;

import java.util.List;
import org.tanagergap.platform.keyvalue.KeyValue;

/** Decodes the items of the platform's store; implemented for each platform. */
public interface FleetDecoder {

    /** Prefixes of the keys that the gateway reads. */
    List<String> prefixes();

    /** Key of the configuration, which decides who may run requests. */
    String configurationKey();

    /** Decodes an item; never throws. */
    FleetChange decode(KeyValue item);
}
