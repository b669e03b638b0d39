package org.tanagergap.platform.instances;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** List of instances maintained by the platform; eventually consistent. */
@FunctionalInterface
public interface InstanceList {

    /** Reads the instances of a group, for example {@code agents} or {@code entries}. */
    CompletableFuture<List<Instance>> read(String group);
}
