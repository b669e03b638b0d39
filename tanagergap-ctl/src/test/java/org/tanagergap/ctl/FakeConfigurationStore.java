package org.tanagergap.ctl;

import io.smallrye.mutiny.Multi;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.StoredConfiguration;
import org.tanagergap.state.configuration.SubmitResult;

/** In-memory store that can return a given result for submissions and outcomes. */
final class FakeConfigurationStore implements ConfigurationStore {

    StoredConfiguration mCurrent;
    SubmitResult mNextResult;
    long mLastBase = -1;
    String mLastNonce;

    @Override
    public CompletableFuture<Optional<StoredConfiguration>> read() {
        return CompletableFuture.completedFuture(Optional.ofNullable(mCurrent));
    }

    @Override
    public CompletableFuture<SubmitResult> submit(String document, long base, String nonce) {
        mLastBase = base;
        mLastNonce = nonce;
        if (mNextResult != null) {
            return CompletableFuture.completedFuture(mNextResult);
        }
        long version = mCurrent == null ? 0 : mCurrent.version();
        if (base != version) {
            return CompletableFuture.completedFuture(new SubmitResult.Conflict(mCurrent));
        }
        mCurrent = new StoredConfiguration(version + 1, document);
        return CompletableFuture.completedFuture(new SubmitResult.Accepted(version + 1));
    }

    @Override
    public CompletableFuture<SubmitResult> outcome(String nonce) {
        return CompletableFuture.completedFuture(mNextResult);
    }

    @Override
    public Multi<StoredConfiguration> watch() {
        return Multi.createFrom().nothing();
    }
}
