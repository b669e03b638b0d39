package org.tanagergap.state.configuration;

import io.smallrye.mutiny.Multi;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The accepted configuration in the platform's key-value service. */
public interface ConfigurationStore {

    /** Latest accepted configuration; empty before the first. */
    CompletableFuture<Optional<StoredConfiguration>> read();

    /**
     * Submits a document that replaces the given version.
     *
     * @param document the whole document as JSON text, already validated
     * @param baseVersion version that the operator edited; 0 for the first
     * @param nonce unique text of this submission, by which its outcome can be asked for later
     */
    CompletableFuture<SubmitResult> submit(String document, long baseVersion, String nonce);

    /** Outcome of an earlier submission. */
    CompletableFuture<SubmitResult> outcome(String nonce);

    /**
     * Emits the current configuration and every later one with rising versions. Survives outages of
     * the service and never fails.
     */
    Multi<StoredConfiguration> watch();
}
