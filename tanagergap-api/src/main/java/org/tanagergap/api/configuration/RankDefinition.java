package org.tanagergap.api.configuration;

import java.time.Duration;

/**
 * Class of work.
 *
 * @param name unique name
 * @param priority lower values run first
 * @param floorPercent share of service guaranteed to the rank, in percent
 * @param defaultDeadline time allowed for requests that state none
 * @param maxDeadline longest time that a request may ask for
 */
public record RankDefinition(
        String name,
        int priority,
        int floorPercent,
        Duration defaultDeadline,
        Duration maxDeadline) {}
