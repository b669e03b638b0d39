package org.tanagergap.entry.configuration;

import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;

/**
 * Bearer key and the workspace that it selects.
 *
 * @param workspace workspace of the key
 * @param key salted hash of the key
 */
public record WorkspaceKey(WorkspaceDefinition workspace, KeyDefinition key) {}
