package org.tanagergap.gateway;

import java.time.Duration;

/**
 * Retries that all instances together may make at the upstreams of a service.
 *
 * @param ratio retries per request
 * @param extra further retries in a window
 * @param window length of the sliding window
 */
public record RetryBudgetSettings(double ratio, double extra, Duration window) {}
