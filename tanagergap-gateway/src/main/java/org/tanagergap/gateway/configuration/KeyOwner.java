package org.tanagergap.gateway.configuration;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Workspace to which a key belongs.
 *
 * @param workspace name of the workspace
 * @param rank rank that replaces the one of the route, if the workspace has its own
 */
public record KeyOwner(String workspace, OptionalInt rank) {

    public KeyOwner {
        Objects.requireNonNull(workspace, "workspace must not be null");
    }
}
