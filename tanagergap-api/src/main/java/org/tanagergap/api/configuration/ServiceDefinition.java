package org.tanagergap.api.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Service that callers may use.
 *
 * @param name unique name
 * @param kind kind of its upstreams
 * @param model model that it offers; present for model services
 * @param maxPromptTokens longest prompt accepted, in tokens; 0 for plain services
 * @param operations calls that may be repeated; all others of a plain service may not
 */
public record ServiceDefinition(
        String name,
        ServiceKind kind,
        Optional<String> model,
        long maxPromptTokens,
        List<OperationDefinition> operations) {

    public ServiceDefinition {
        operations = List.copyOf(operations);
    }

    /** Whether a call may run more than once; unlisted calls may not. */
    public boolean isIdempotent(String method, String path) {
        return operations.stream()
                .filter(o -> o.matches(method, path))
                .findFirst()
                .map(OperationDefinition::idempotent)
                .orElse(false);
    }
}
