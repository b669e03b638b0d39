package org.tanagergap.decisions.policy;

import java.util.Objects;

/**
 * Scheduling properties of a request, with the version of the configuration that they come from.
 *
 * @param configurationVersion version of the configuration
 * @param workspace name of the caller's workspace
 * @param weight relative share of the workspace within its rank, at least 1
 * @param rank name of the work rank
 * @param rankPriority lower values run first
 * @param rankFloorPercent share of service guaranteed to the rank, in percent
 */
public record PolicyStamp(
        long configurationVersion,
        String workspace,
        int weight,
        String rank,
        int rankPriority,
        int rankFloorPercent) {

    public PolicyStamp {
        Objects.requireNonNull(workspace, "workspace must not be null");
        Objects.requireNonNull(rank, "rank must not be null");
        if (weight < 1) {
            throw new IllegalArgumentException("weight must be at least 1: " + weight);
        }
    }
}
