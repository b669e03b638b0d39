package org.tanagergap.platform.instances;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances. It lags behind reality. */
@FunctionalInterface
public interface InstanceList {

    /** Instances of a group, for example {@code agents} or {@code entries}. */
    CompletableFuture<List<Instance>> read(String group);
}
