package org.tanagergap.state.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;
import org.tanagergap.state.fake.FakeKeyValueStore;
import org.tanagergap.state.fake.SimulatedProcess;
import org.tanagergap.testing.PausedClock;

/** Guards against values of another writer that keep processes from following the configuration. */
class MalformedConfigurationTests {

    private static final Duration BOUND = Duration.ofSeconds(4);

    private final PausedClock mClock = new PausedClock();
    private final FakeKeyValueStore mStore = new FakeKeyValueStore(mClock);
    private final KeyValueStore mClient = mStore.connect(new SimulatedProcess(mClock));
    private final KeyValueConfigurationStore mConfigurations =
            new KeyValueConfigurationStore(mClient, mClock);
    private final List<StoredConfiguration> mSeen = new ArrayList<>();

    private void watch() {
        mConfigurations.watch().subscribe().with(mSeen::add);
        mClock.advance(BOUND);
    }

    private void submit(long baseVersion) {
        CompletableFuture<SubmitResult> result =
                mConfigurations.submit("{}", baseVersion, "n-" + baseVersion);
        mClock.advance(Duration.ofMillis(100));
        assertThat(result.join()).isEqualTo(new SubmitResult.Accepted(baseVersion + 1));
    }

    private void put(String key, String value) {
        mClient.commit(new Transaction(List.of(), List.of(new Write.Put(key, value))));
        mClock.advance(Duration.ofMillis(100));
    }

    private static StoredConfiguration version(long version) {
        return new StoredConfiguration(version, "{}");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "1e400", "9999999999999999999999", "NaN", "-1", "[[[[[["})
    void aProcessThatStartsReadsTheConfigurationDespiteAMalformedVersion(String stored) {
        submit(0);
        put(ConfigurationKeys.VERSION, stored);

        watch();

        assertThat(mSeen).containsExactly(version(1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "1e400", "9999999999999999999999"})
    void aNewVersionIsFollowedAfterAMalformedOne(String stored) {
        submit(0);
        watch();
        put(ConfigurationKeys.VERSION, stored);
        mStore.stallWatches();
        submit(1);
        mClock.advance(BOUND);

        assertThat(mSeen).containsExactly(version(1), version(2)).inOrder();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{}",
                "\n{}",
                "x\n{}",
                "1e400\n{}",
                "9999999999999999999999\n{}",
                "9223372036854775807\n{}",
                "0\n{}",
                "-1\n{}"
            })
    void aMalformedConfigurationIsIgnoredAndTheNextOneFollowed(String stored) {
        submit(0);
        watch();
        var good = mStore.backup();
        put(ConfigurationKeys.CURRENT, stored);
        mClock.advance(BOUND);
        mStore.restore(good);
        mClock.advance(BOUND);
        submit(1);
        mClock.advance(BOUND);

        assertThat(mSeen).containsExactly(version(1), version(2)).inOrder();
    }

    /** ctl and the console read the version of the stored configuration before they submit. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x", "{}", "x\n{}", "1e400\n{}", "9223372036854775807\n{}"})
    void theAcceptedConfigurationIsWrittenAgainInPlaceOfAMalformedOne(String stored) {
        submit(0);
        watch();
        put(ConfigurationKeys.CURRENT, stored);
        mClock.advance(BOUND);

        submit(1);
        mClock.advance(BOUND);

        assertThat(mSeen).containsExactly(version(1), version(2)).inOrder();
    }

    @Test
    void aProcessDoesNotReplaceAMalformedConfigurationWhoseVersionItLacks() {
        submit(0);
        watch();
        mStore.stallWatches();
        submit(1);
        put(ConfigurationKeys.CURRENT, "x");
        mClock.advance(BOUND.multipliedBy(3));

        CompletableFuture<?> read = mClient.read(ConfigurationKeys.CURRENT);
        mClock.advance(Duration.ofMillis(100));
        assertThat(read.join().toString()).contains("value=x");
    }

    /** A store restored later would otherwise lack the configuration for good. */
    @Test
    void theConfigurationInEffectIsKeptForRepairBesideARejectedOne() {
        submit(0);
        submit(1);
        mConfigurations.watch(stored -> stored.version() < 999).subscribe().with(mSeen::add);
        mClock.advance(BOUND);
        put(ConfigurationKeys.CURRENT, "999\n[[[");
        put(ConfigurationKeys.VERSION, "999");
        mClock.advance(BOUND);
        mStore.restore(Map.of());
        mClock.advance(BOUND.multipliedBy(3));

        var stored = mConfigurations.read();
        mClock.advance(Duration.ofMillis(100));
        assertThat(stored.join()).isEqualTo(Optional.of(version(2)));
    }

    /** Writing it again would undo the repair of an operator at each attempt. */
    @Test
    void aRejectedConfigurationIsNotWrittenAgainAndHidesNoLowerVersion() {
        submit(0);
        var good = mStore.backup();
        mConfigurations.watch(stored -> stored.version() < 999).subscribe().with(mSeen::add);
        mClock.advance(BOUND);
        put(ConfigurationKeys.CURRENT, "999\n[[[");
        put(ConfigurationKeys.VERSION, "999");
        mClock.advance(BOUND);
        mStore.restore(good);
        submit(1);
        mClock.advance(BOUND.multipliedBy(3));

        assertThat(mSeen.get(mSeen.size() - 1)).isEqualTo(version(2));
        var stored = mConfigurations.read();
        mClock.advance(Duration.ofMillis(100));
        assertThat(stored.join()).isEqualTo(Optional.of(version(2)));
    }

    /** Reading a document of 1 MB at each poll would cost each of 350 entries 500 KB/s. */
    @Test
    void aMalformedVersionDoesNotCauseAReadOfTheDocumentAtEachPoll() {
        submit(0);
        put(ConfigurationKeys.VERSION, "999999");
        watch();
        int before = mStore.reads();

        mClock.advance(Duration.ofMinutes(1));

        assertThat(mSeen).containsExactly(version(1));
        assertThat(mStore.reads() - before).isAtMost(31);
    }
}
