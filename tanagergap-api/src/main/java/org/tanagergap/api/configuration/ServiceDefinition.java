package org.tanagergap.api.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Service that callers may use.
 *
 * @param name unique name
 * @param kind kind of its upstreams
 * @param model model that it offers; present for model services
 * @param maxPromptTokens longest accepted prompt, in tokens; 0 for plain services
 * @param operations groups of calls of a plain service, each idempotent or not; calls outside all
 *     groups are not idempotent
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

    /** Returns true if a call may run more than once; calls outside all operations may not. */
    public boolean isIdempotent(String method, String path) {
        return operations.stream()
                .filter(o -> o.matches(method, path))
                .findFirst()
                .map(OperationDefinition::idempotent)
                .orElse(false);
    }
}
