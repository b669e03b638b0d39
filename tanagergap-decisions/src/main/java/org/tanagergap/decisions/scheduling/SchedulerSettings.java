package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits and rates of one upstream's scheduler.
 *
 * @param memoryTokens memory of the engine, or maximum number of concurrent calls of a plain
 *     service
 * @param maxQueued maximum number of queued items
 * @param maxQueuedPerWorkspace maximum number of queued items of one workspace
 * @param floorWindow time over which a rank's share of service is measured
 * @param longMemoryShare share of memory that long prompts and segment reservations may use
 *     together
 * @param maxLongPrefills maximum number of long prompts that are prefilled at once
 * @param prefillWindow work that a band may have in prefill, in time at the learnt rate
 * @param pendingReservationAfter time after which memory accumulates for work that does not fit
 * @param ageingPerSecond share of its length that an item loses per second of waiting
 * @param initialPrefillTokensPerSecond prefill rate before the first measurement
 * @param dispatchGrace time after dispatch in which the engine's list may lack a run
 * @param policyRetention time for which the stamp of an idle workspace is kept
 */
public record SchedulerSettings(
        long memoryTokens,
        int maxQueued,
        int maxQueuedPerWorkspace,
        Duration floorWindow,
        double longMemoryShare,
        int maxLongPrefills,
        Duration prefillWindow,
        Duration pendingReservationAfter,
        double ageingPerSecond,
        double initialPrefillTokensPerSecond,
        Duration dispatchGrace,
        Duration policyRetention) {

    public SchedulerSettings {
        Objects.requireNonNull(floorWindow, "floorWindow must not be null");
        Objects.requireNonNull(prefillWindow, "prefillWindow must not be null");
        Objects.requireNonNull(pendingReservationAfter, "claimAfter must not be null");
        Objects.requireNonNull(dispatchGrace, "dispatchGrace must not be null");
        Objects.requireNonNull(policyRetention, "policyRetention must not be null");
        requirePositive("maxQueued", maxQueued);
        requirePositive("maxQueuedPerWorkspace", maxQueuedPerWorkspace);
        requirePositive("maxLongPrefills", maxLongPrefills);
        requirePositive("longMemoryShare", longMemoryShare);
        requirePositive("initialPrefillTokensPerSecond", initialPrefillTokensPerSecond);
        if (memoryTokens < 0) {
            throw new IllegalArgumentException(
                    "memoryTokens must not be negative: " + memoryTokens);
        }
        if (ageingPerSecond < 0 || ageingPerSecond >= 1) {
            throw new IllegalArgumentException(
                    "ageingPerSecond must be at least 0 and below 1: " + ageingPerSecond);
        }
    }

    /** Returns the documented default settings, for an engine of a million tokens. */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(
                1_000_000,
                1_024,
                256,
                Duration.ofSeconds(10),
                0.6,
                1,
                Duration.ofMillis(250),
                Duration.ofSeconds(1),
                0.02,
                20_000,
                Duration.ofSeconds(2),
                Duration.ofMinutes(10));
    }

    /** Returns a copy with another memory size. */
    public SchedulerSettings withMemoryTokens(long tokens) {
        return new SchedulerSettings(
                tokens,
                maxQueued,
                maxQueuedPerWorkspace,
                floorWindow,
                longMemoryShare,
                maxLongPrefills,
                prefillWindow,
                pendingReservationAfter,
                ageingPerSecond,
                initialPrefillTokensPerSecond,
                dispatchGrace,
                policyRetention);
    }

    /** Returns a copy with other queue limits. */
    public SchedulerSettings withQueueLimits(int total, int perWorkspace) {
        return new SchedulerSettings(
                memoryTokens,
                total,
                perWorkspace,
                floorWindow,
                longMemoryShare,
                maxLongPrefills,
                prefillWindow,
                pendingReservationAfter,
                ageingPerSecond,
                initialPrefillTokensPerSecond,
                dispatchGrace,
                policyRetention);
    }

    private static void requirePositive(String name, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}
