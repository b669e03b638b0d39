package org.tanagergap.state.configuration;

import io.smallrye.mutiny.Multi;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** Stores the accepted configuration in the platform's key-value store. */
public interface ConfigurationStore {

    /** Reads the latest accepted configuration; empty if none has been accepted yet. */
    CompletableFuture<Optional<StoredConfiguration>> read();

    /**
     * Submits a document that replaces the given version.
     *
     * @param document the complete document as JSON text, already validated
     * @param baseVersion version that the document is based on; 0 for the first document
     * @param nonce unique identifier of this submission, accepted by {@link #outcome}
     */
    CompletableFuture<SubmitResult> submit(String document, long baseVersion, String nonce);

    /**
     * Resolves the outcome of an earlier submission. A submission that has not been accepted is
     * withdrawn by this call.
     */
    CompletableFuture<SubmitResult> outcome(String nonce);

    /**
     * Emits the current configuration and then each newer one, in ascending order of versions. The
     * stream survives outages of the store and never fails.
     */
    Multi<StoredConfiguration> watch();

    /**
     * Watches for a subscriber that may reject configurations. One that is not in effect some time
     * after it was emitted does not hide a lower version that the store holds later, and is not
     * written again if the store loses it.
     *
     * @param inEffect returns true if the configuration, or one with a higher version, is in effect
     *     at the subscriber
     */
    default Multi<StoredConfiguration> watch(Predicate<StoredConfiguration> inEffect) {
        return watch();
    }
}
