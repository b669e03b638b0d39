package org.tanagergap.gateway.configuration;

import java.time.Duration;

/**
 * Behavior of the upstreams of a service after their start.
 *
 * @param duration time for which an upstream stays cold; zero if unknown
 * @param requestsPerSecond requests per second that a cold upstream sustains from all instances
 */
public record ColdStart(Duration duration, double requestsPerSecond) {}
