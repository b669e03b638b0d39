package org.tanagergap.entry.caller;

import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.entry.configuration.ConfigurationSnapshot;

/**
 * Configuration, workspace, rank and deadline that the headers of a request select.
 *
 * @param configuration configuration under which the request runs
 * @param workspace workspace of the key
 * @param rank work rank
 * @param deadline time by which the request finishes or fails
 */
record CallerPolicy(
        ConfigurationSnapshot configuration,
        WorkspaceDefinition workspace,
        RankDefinition rank,
        Deadline deadline) {

    PolicyStamp stamp() {
        return new PolicyStamp(
                configuration.version(),
                workspace.name(),
                workspace.weight(),
                rank.name(),
                rank.priority(),
                rank.floorPercent());
    }
}
