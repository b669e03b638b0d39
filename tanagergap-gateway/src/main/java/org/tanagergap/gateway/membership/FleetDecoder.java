package org.tanagergap.gateway.membership;

import java.util.List;
import org.tanagergap.platform.keyvalue.KeyValue;

/** Reads the items of the platform's store; implemented for each platform. */
public interface FleetDecoder {

    /** Prefixes of the keys that matter. */
    List<String> prefixes();

    /** Meaning of an item; never throws. */
    FleetChange decode(KeyValue item);
}
