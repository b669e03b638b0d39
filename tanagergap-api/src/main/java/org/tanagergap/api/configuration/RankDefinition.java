package org.tanagergap.api.configuration;

import java.time.Duration;

/**
 * Class of work.
 *
 * @param name unique name
 * @param priority lower values run first
 * @param floorPercent share of service guaranteed to the rank, in percent
 * @param defaultDeadline time allowed for requests without a deadline
 * @param maxDeadline maximum deadline that a request may set
 */
public record RankDefinition(
        String name,
        int priority,
        int floorPercent,
        Duration defaultDeadline,
        Duration maxDeadline) {}
