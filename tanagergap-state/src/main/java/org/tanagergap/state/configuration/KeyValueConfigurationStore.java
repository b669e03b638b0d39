package org.tanagergap.state.configuration;

import io.smallrye.mutiny.Multi;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.Condition;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.TransactionResult;
import org.tanagergap.platform.keyvalue.Write;

/**
 * Configuration store backed by a key-value store. Each submission is one transaction that also
 * creates a key for its nonce.
 */
public final class KeyValueConfigurationStore implements ConfigurationStore {

    /** Time for which the outcome of a submission is kept. */
    public static final Duration OUTCOME_RETENTION = Duration.ofHours(24);

    // The key-value store accepts values of up to 1 MB, including the version line.
    private static final int MAX_DOCUMENT_BYTES = 1_000_000 - 32;
    private static final Pattern NONCE = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private final KeyValueStore mStore;
    private final RuntimeClock mClock;
    private final SubmissionResolver mResolver;

    public KeyValueConfigurationStore(KeyValueStore store, RuntimeClock clock) {
        mStore = Objects.requireNonNull(store, "store must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mResolver = new SubmissionResolver(store, clock);
    }

    @Override
    public CompletableFuture<Optional<StoredConfiguration>> read() {
        return mStore.read(ConfigurationKeys.CURRENT).thenApply(this::parse);
    }

    @Override
    public CompletableFuture<SubmitResult> submit(String document, long baseVersion, String nonce) {
        Objects.requireNonNull(document, "document must not be null");
        requireNonce(nonce);
        if (baseVersion < 0) {
            throw new IllegalArgumentException("baseVersion must not be negative: " + baseVersion);
        }
        int bytes = document.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_DOCUMENT_BYTES) {
            String reason =
                    "the document has "
                            + bytes
                            + " bytes; at most "
                            + MAX_DOCUMENT_BYTES
                            + " are allowed";
            return CompletableFuture.completedFuture(new SubmitResult.Rejected(reason));
        }
        StoredConfiguration next = new StoredConfiguration(baseVersion + 1, document);
        return mStore.read(ConfigurationKeys.CURRENT)
                .thenCompose(current -> commitIfBase(current, next, nonce))
                .handle((committed, failure) -> failure == null && committed)
                .thenCompose(
                        committed ->
                                committed
                                        ? accepted(next.version())
                                        : resolveUnconfirmed(baseVersion, nonce));
    }

    @Override
    public CompletableFuture<SubmitResult> outcome(String nonce) {
        requireNonce(nonce);
        return mResolver.resolve(nonce);
    }

    @Override
    public Multi<StoredConfiguration> watch() {
        return watch(ignored -> true);
    }

    @Override
    public Multi<StoredConfiguration> watch(Predicate<StoredConfiguration> inEffect) {
        Objects.requireNonNull(inEffect, "inEffect must not be null");
        return Multi.createFrom()
                .emitter(
                        emitter ->
                                new ConfigurationWatch(mStore, mClock, emitter, inEffect).start());
    }

    /** Commits if the current version is the base; completes with true if it was accepted. */
    private CompletableFuture<Boolean> commitIfBase(
            Optional<KeyValue> current, StoredConfiguration next, String nonce) {
        if (versionOf(current) != next.version() - 1) {
            return CompletableFuture.completedFuture(false);
        }
        long revision = current.map(KeyValue::modRevision).orElse(0L);
        return mStore.grantLease(OUTCOME_RETENTION)
                .thenCompose(lease -> commit(next, nonce, revision, lease))
                .thenApply(TransactionResult::succeeded);
    }

    private CompletableFuture<TransactionResult> commit(
            StoredConfiguration next, String nonce, long revision, long lease) {
        String submission = ConfigurationKeys.submission(nonce);
        String value = ConfigurationValues.accepted(next.version());
        return mStore.commit(
                new Transaction(
                        List.of(
                                new Condition.AtRevision(ConfigurationKeys.CURRENT, revision),
                                new Condition.Absent(submission)),
                        List.of(
                                new Write.Put(
                                        ConfigurationKeys.CURRENT,
                                        ConfigurationValues.current(next)),
                                new Write.Put(
                                        ConfigurationKeys.VERSION, Long.toString(next.version())),
                                new Write.Put(submission, value, OptionalLong.of(lease)))));
    }

    /**
     * Resolves a submission that was not confirmed. A conflict is reported only after the nonce has
     * been abandoned, because an earlier call with the same nonce may have been accepted.
     */
    private CompletableFuture<SubmitResult> resolveUnconfirmed(long baseVersion, String nonce) {
        return mResolver
                .resolve(nonce)
                .thenCompose(
                        result ->
                                result instanceof SubmitResult.Rejected
                                        ? conflictOr(result, baseVersion)
                                        : CompletableFuture.completedFuture(result));
    }

    private CompletableFuture<SubmitResult> conflictOr(SubmitResult rejected, long baseVersion) {
        return read().handle(
                        (current, failure) -> {
                            if (failure != null || versionOrZero(current) == baseVersion) {
                                return rejected;
                            }
                            // Without a current configuration there is no version that conflicts
                            // with the base.
                            return current.<SubmitResult>map(SubmitResult.Conflict::new)
                                    .orElse(rejected);
                        });
    }

    private static CompletableFuture<SubmitResult> accepted(long version) {
        return CompletableFuture.completedFuture(new SubmitResult.Accepted(version));
    }

    private Optional<StoredConfiguration> parse(Optional<KeyValue> current) {
        return current.map(KeyValue::value).map(ConfigurationValues::parseCurrent);
    }

    private long versionOf(Optional<KeyValue> current) {
        return versionOrZero(parse(current));
    }

    private static long versionOrZero(Optional<StoredConfiguration> current) {
        return current.map(StoredConfiguration::version).orElse(0L);
    }

    private static void requireNonce(String nonce) {
        Objects.requireNonNull(nonce, "nonce must not be null");
        if (!NONCE.matcher(nonce).matches()) {
            throw new IllegalArgumentException(
                    "nonce must match " + NONCE.pattern() + ": \"" + nonce + "\"");
        }
    }
}
