package org.tanagergap.platform.keyvalue;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;

/** Guards against failed calls that are reported as not applied although they may have been. */
class HttpKeyValueStoreTests {

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final Vertx mVertx = Vertx.vertx();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private KeyValueServer mServer;
    private HttpKeyValueStore mStore;

    @BeforeEach
    void start() throws Exception {
        mServer = startServer(KeyValueLimits.defaults());
        mStore = connect(mServer.port());
    }

    @AfterEach
    void stop() throws Exception {
        await(mVertx.close().toCompletionStage().toCompletableFuture());
    }

    private KeyValueServer startServer(KeyValueLimits limits) throws Exception {
        HostPort any = new HostPort("127.0.0.1", 0);
        KeyValueServer server =
                new KeyValueServer(mVertx, any, limits, new VertxRuntimeClock(mVertx));
        await(server.start());
        return server;
    }

    private HttpKeyValueStore connect(int port) {
        return new HttpKeyValueStore(mVertx, new HostPort("127.0.0.1", port), TIMEOUT, mMetrics);
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(10, TimeUnit.SECONDS);
    }

    private static KeyValueException failureOf(CompletableFuture<?> future) {
        ExecutionException e = assertThrows(ExecutionException.class, () -> await(future));
        assertThat(e).hasCauseThat().isInstanceOf(KeyValueException.class);
        return (KeyValueException) e.getCause();
    }

    private static Transaction create(String key, String value) {
        return new Transaction(
                List.of(new Condition.Absent(key)), List.of(new Write.Put(key, value)));
    }

    private void setFaults(JsonObject faults) throws Exception {
        WebClient client = WebClient.create(mVertx);
        await(
                client.put(mServer.port(), "127.0.0.1", "/faults")
                        .sendJsonObject(faults)
                        .toCompletionStage()
                        .toCompletableFuture());
    }

    @Nested
    class Calls {

        @Test
        void createsReadsAndReplacesOnlyAtTheRevisionThatWasRead() throws Exception {
            assertThat(await(mStore.read("/a"))).isEmpty();
            assertThat(await(mStore.commit(create("/a", "é\n\"1\""))).succeeded()).isTrue();
            assertThat(await(mStore.commit(create("/a", "2"))).succeeded()).isFalse();
            KeyValue value = await(mStore.read("/a")).orElseThrow();
            assertThat(value.value()).isEqualTo("é\n\"1\"");

            Condition old = new Condition.AtRevision("/a", value.modRevision() - 1);
            Condition current = new Condition.AtRevision("/a", value.modRevision());
            Write put = new Write.Put("/a", "3");
            Transaction stale = new Transaction(List.of(old), List.of(put));
            Transaction fresh = new Transaction(List.of(current), List.of(put));
            assertThat(await(mStore.commit(stale)).succeeded()).isFalse();
            TransactionResult result = await(mStore.commit(fresh));
            assertThat(result.succeeded()).isTrue();
            assertThat(await(mStore.read("/a")).map(KeyValue::modRevision))
                    .isEqualTo(Optional.of(result.revision()));
        }

        @Test
        void readsRangesInOrderAndDeletesThem() throws Exception {
            for (String key : List.of("/r/2", "/r/1", "/r/3", "/s")) {
                await(mStore.commit(create(key, key)));
            }
            assertThat(await(mStore.readRange("/r/", "/r0", 2)).stream().map(KeyValue::key))
                    .containsExactly("/r/1", "/r/2")
                    .inOrder();
            Write delete = new Write.DeleteRange("/r/", "/r/3");
            await(mStore.commit(new Transaction(List.of(), List.of(delete))));
            assertThat(await(mStore.readRange("/", "0", 10)).stream().map(KeyValue::key))
                    .containsExactly("/r/3", "/s");
        }

        @Test
        void keysOfAnExpiredLeaseAreDeletedAndTheLeaseCannotBeExtended() throws Exception {
            long lease = await(mStore.grantLease(Duration.ofSeconds(1)));
            await(mStore.keepLeaseAlive(lease));
            Write put = new Write.Put("/l", "1", OptionalLong.of(lease));
            await(mStore.commit(new Transaction(List.of(), List.of(put))));
            assertThat(await(mStore.read("/l"))).isPresent();

            TimeUnit.MILLISECONDS.sleep(1_300);

            assertThat(await(mStore.read("/l"))).isEmpty();
            failureOf(mStore.keepLeaseAlive(lease));
        }

        @Test
        void watchesEmitPutsAndDeletionsOfTheirPrefixAndFailDuringAnOutage() throws Exception {
            BlockingQueue<KeyValue> seen = new LinkedBlockingQueue<>();
            CompletableFuture<Throwable> failed = new CompletableFuture<>();
            Cancellable watch = mStore.watch("/w/").subscribe().with(seen::add, failed::complete);
            // The gateway confirms a watch only within its stream, which the interface does not
            // expose.
            TimeUnit.MILLISECONDS.sleep(200);
            await(mStore.commit(create("/v", "0")));
            await(mStore.commit(create("/w/1", "1")));
            Write delete = new Write.DeleteRange("/w/", "/w0");
            await(mStore.commit(new Transaction(List.of(), List.of(delete))));

            KeyValue put = seen.poll(5, TimeUnit.SECONDS);
            KeyValue deletion = seen.poll(5, TimeUnit.SECONDS);
            assertThat(put.key() + put.value()).isEqualTo("/w/11");
            assertThat(deletion.key()).isEqualTo("/w/1");
            assertThat(deletion.createRevision()).isEqualTo(0);
            setFaults(new JsonObject().put("outage", true));
            assertThat(await(failed)).isInstanceOf(KeyValueException.class);
            watch.cancel();
        }

        @Test
        void countsCallsByKind() throws Exception {
            await(mStore.read("/a"));
            await(mStore.commit(create("/a", "1")));
            await(mStore.grantLease(Duration.ofSeconds(5)));

            assertThat(mMetrics.counter("key_value_calls{kind=reads}").getCount()).isEqualTo(1);
            assertThat(mMetrics.counter("key_value_calls{kind=writes}").getCount()).isEqualTo(2);
            JsonObject counts =
                    await(
                            WebClient.create(mVertx)
                                    .get(mServer.port(), "127.0.0.1", "/counts")
                                    .send()
                                    .map(response -> response.bodyAsJsonObject())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            assertThat(counts.getLong("reads")).isEqualTo(1);
            assertThat(counts.getLong("writes")).isEqualTo(2);
        }
    }

    @Nested
    class Faults {

        @Test
        void aLostResponseIsReportedAsUnknownAlthoughTheWriteWasApplied() throws Exception {
            setFaults(new JsonObject().put("lose_replies", 1));

            assertThat(failureOf(mStore.commit(create("/a", "1"))).notApplied()).isFalse();
            assertThat(await(mStore.read("/a"))).isPresent();
            assertThat(await(mStore.commit(create("/b", "1"))).succeeded()).isTrue();
        }

        @Test
        void callsFailDuringAnOutageAndWorkAfterwards() throws Exception {
            setFaults(new JsonObject().put("outage", true));
            failureOf(mStore.read("/a"));
            assertThat(failureOf(mStore.commit(create("/a", "1"))).notApplied()).isFalse();
            setFaults(new JsonObject().put("outage", false));

            assertThat(await(mStore.read("/a"))).isEmpty();
        }

        @Test
        void aTimeoutIsReportedAsUnknown() throws Exception {
            setFaults(new JsonObject().put("delay_ms", 1_000));

            assertThat(failureOf(mStore.commit(create("/a", "1"))).notApplied()).isFalse();
        }

        // Guards against a stand-in that never responds to a malformed body while responses are
        // delayed.
        @Test
        void theStandInRejectsAMalformedBodyDespiteADelay() throws Exception {
            setFaults(new JsonObject().put("delay_ms", 5));

            int status =
                    await(
                            WebClient.create(mVertx)
                                    .post(mServer.port(), "127.0.0.1", "/v3/kv/put")
                                    .sendBuffer(Buffer.buffer("not json"))
                                    .map(response -> response.statusCode())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            assertThat(status).isEqualTo(400);
        }

        @Test
        void aRefusedConnectionIsReportedAsNotApplied() throws Exception {
            int port = mServer.port();
            await(mServer.stop());

            assertThat(failureOf(connect(port).commit(create("/a", "1"))).notApplied()).isTrue();
        }

        @Test
        void anEarlierRefusalIsNotTakenForThatOfAWriteThatWasApplied() throws Exception {
            failureOf(mStore.commit(create("/a", "x".repeat(1_000_001))));
            setFaults(new JsonObject().put("repeat_refusals", true));

            assertThat(await(mStore.commit(create("/b", "1"))).succeeded()).isTrue();
        }

        @Test
        void oversizedValuesAndExceededRatesAreReportedAsNotApplied() throws Exception {
            String large = "x".repeat(1_000_001);
            assertThat(failureOf(mStore.commit(create("/a", large))).notApplied()).isTrue();

            KeyValueServer limited = startServer(new KeyValueLimits(100, 1, 100));
            HttpKeyValueStore store = connect(limited.port());
            await(store.commit(create("/a", "1")));
            assertThat(failureOf(store.commit(create("/b", "1"))).notApplied()).isTrue();
        }
    }
}
