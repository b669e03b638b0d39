package org.tanagergap.decisions.ratelimit;

import java.util.Map;

/**
 * Messages about permits that one instance sends to others.
 *
 * @param requests number of permits requested from each issuer, by instance and upstream
 * @param grants permits issued to each instance, by instance and upstream
 */
public record PermitMessages(
        Map<String, Map<String, Integer>> requests, Map<String, Map<String, PermitGrant>> grants) {

    public static final PermitMessages NONE = new PermitMessages(Map.of(), Map.of());

    public PermitMessages {
        requests = Map.copyOf(requests);
        grants = Map.copyOf(grants);
    }
}
