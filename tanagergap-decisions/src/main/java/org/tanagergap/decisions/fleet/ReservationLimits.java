package org.tanagergap.decisions.fleet;

import java.time.Duration;

/**
 * Longest times for which engine memory may stay reserved without use.
 *
 * @param maxUnused time for which no request may have used the memory yet
 * @param maxAfterUse time after the end of the request that used the memory
 */
public record ReservationLimits(Duration maxUnused, Duration maxAfterUse) {}
