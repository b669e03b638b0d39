package org.tanagergap.state.intent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;
import org.tanagergap.state.fake.FakeKeyValueStore;
import org.tanagergap.state.fake.SimulatedProcess;
import org.tanagergap.testing.PausedClock;

/** Guards against a value of another writer that stops the calls of a whole shard for good. */
class MalformedRecordTests {

    private final PausedClock mClock = new PausedClock();
    private final FakeKeyValueStore mStore = new FakeKeyValueStore(mClock);
    private final KeyValueStore mClient = mStore.connect(new SimulatedProcess(mClock));

    private static final IntentKey KEY = new IntentKey("orders", "w", "k");

    private final ShardKeys mKeys = ShardKeys.of(KEY, IntentLogSettings.defaults().shardCount());

    private KeyValueIntentLog newLog() {
        SimulatedProcess process = new SimulatedProcess(mClock);
        return new KeyValueIntentLog(
                mStore.connect(process), process, IntentLogSettings.defaults());
    }

    private IntentDecision decision(String attempt) {
        CompletableFuture<IntentDecision> decision =
                newLog().begin(KEY, "h", new AttemptId(attempt), Duration.ofSeconds(10));
        mClock.advance(Duration.ofSeconds(3));
        return decision.isCompletedExceptionally() ? null : decision.getNow(null);
    }

    private void put(String key, String value) {
        mClient.commit(new Transaction(List.of(), List.of(new Write.Put(key, value))));
        mClock.advance(Duration.ofMillis(100));
    }

    @BeforeEach
    void grantAKey() {
        assertThat(decision("a1")).isEqualTo(new IntentDecision.Granted());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0000000000000000001x",
                "1",
                "5",
                "9223372036854775807",
                "9223372036854775808",
                "9999999999999999999999",
                "00000000000000000-1"
            })
    void aKeyThatNamesNoNextRecordIsSkipped(String name) {
        put(mKeys.record(0).replaceAll("[0-9]+$", name), "x");

        assertThat(decision("a2")).isEqualTo(new IntentDecision.InProgress());
    }

    @Test
    void manyKeysThatNameNoRecordHideNoLaterRecord() {
        for (int i = 0; i < 40; i++) {
            put(mKeys.record(0) + "x" + i, "x");
        }

        assertThat(decision("a2")).isEqualTo(new IntentDecision.InProgress());
        assertThat(decision("a3")).isEqualTo(new IntentDecision.InProgress());
    }

    /** A store restored from a backup can lack the records between that grant the key. */
    @Test
    void aRecordAfterAGapGrantsNothing() {
        put(mKeys.record(7), "{\"nonce\":\"n\",\"written_at_ms\":1}");

        assertThat(decision("a2")).isNull();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "7", "[]", "{}", "{\"intents\":7}", "{\"nonce\":7}", "NESTED"})
    void aValueThatNoWriterCreatesIsSkipped(String value) {
        String nested = "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000);
        put(mKeys.record(1), value.equals("NESTED") ? nested : value);

        assertThat(decision("a2")).isEqualTo(new IntentDecision.InProgress());
    }

    /** Skipping it could grant a key again whose call has run. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"nonce\":\"n\",\"written_at_ms\":1,\"intents\":[7]}",
                "{\"nonce\":\"n\",\"written_at_ms\":1,\"intents\":[{\"workspace\":\"w\"}]}"
            })
    void aDamagedRecordOfAWriterGrantsNothing(String value) {
        put(mKeys.record(1), value);

        assertThat(decision("a2")).isNull();
    }
}
