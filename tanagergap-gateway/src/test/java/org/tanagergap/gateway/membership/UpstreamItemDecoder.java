package org.tanagergap.gateway.membership;

import java.util.List;
import java.util.Optional;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.settings.HostPort;

/** Takes the value of an item as the start time of an upstream; an empty one removes it. */
record UpstreamItemDecoder(String prefix, String operatorPrefix) implements FleetDecoder {

    @Override
    public List<String> prefixes() {
        return List.of(prefix);
    }

    @Override
    public FleetChange decode(KeyValue item) {
        String id = item.key().substring(prefix.length());
        Optional<Upstream> upstream =
                Optional.of(item.value())
                        .filter(value -> !value.isEmpty())
                        .map(Long::valueOf)
                        .map(starts -> upstream(id, starts));
        return new FleetChange.UpstreamEntry(id, upstream, Optional.empty());
    }

    private static Upstream upstream(String id, long starts) {
        return new Upstream(id, "s", new HostPort("10.0.0.1", 80), "a", 4, false, starts);
    }
}
