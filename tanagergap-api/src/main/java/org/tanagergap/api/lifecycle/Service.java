package org.tanagergap.api.lifecycle;

import java.util.concurrent.CompletableFuture;

/** Component that owns resources between start and stop. */
public interface Service {

    /** Acquires the resources; the future completes when the service is ready for use. */
    CompletableFuture<Void> start();

    /** Finishes work in flight and releases the resources. */
    CompletableFuture<Void> stop();
}
