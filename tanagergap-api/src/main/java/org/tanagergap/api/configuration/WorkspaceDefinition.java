package org.tanagergap.api.configuration;

import java.util.List;

/**
 * Customer of the system, isolated from all others.
 *
 * @param name unique name
 * @param weight relative share within a rank, at least 1
 * @param services names of the services that it may use
 * @param ranks names of the ranks that it may use
 * @param defaultRank rank of requests without a rank
 * @param keys bearer keys of its callers
 */
public record WorkspaceDefinition(
        String name,
        int weight,
        List<String> services,
        List<String> ranks,
        String defaultRank,
        List<KeyDefinition> keys) {

    public WorkspaceDefinition {
        services = List.copyOf(services);
        ranks = List.copyOf(ranks);
        keys = List.copyOf(keys);
    }
}
