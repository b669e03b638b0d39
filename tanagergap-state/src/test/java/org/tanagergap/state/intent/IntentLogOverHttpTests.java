package org.tanagergap.state.intent;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;

/** Guards against keys granted twice, or to nobody, by races of real threads and connections. */
class IntentLogOverHttpTests {

    private static final int WRITERS = 3;
    private static final int KEYS = 60;

    private final Vertx mVertx = Vertx.vertx();
    private final RuntimeClock mClock = new VertxRuntimeClock(mVertx);

    @AfterEach
    void stop() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private KeyValueIntentLog newLog(int port) {
        HttpKeyValueStore store =
                new HttpKeyValueStore(
                        mVertx,
                        new HostPort("127.0.0.1", port),
                        Duration.ofMillis(500),
                        new MetricRegistry());
        // Long enough that a grant does not time out on a busy machine.
        Duration confirmTimeout = Duration.ofSeconds(30);
        IntentLogSettings settings =
                new IntentLogSettings(
                        UUID.randomUUID().toString(),
                        8,
                        Duration.ofMillis(40),
                        confirmTimeout,
                        Duration.ofMinutes(10),
                        Duration.ofHours(24),
                        Duration.ofMinutes(10));
        return new KeyValueIntentLog(store, mClock, settings);
    }

    @Test
    void grantsEachKeyToOneOfSeveralWritersWhileResponsesAreLost() throws Exception {
        KeyValueLimits limits = new KeyValueLimits(10_000, 10_000, 1_000_000);
        KeyValueServer server =
                new KeyValueServer(mVertx, new HostPort("127.0.0.1", 0), limits, mClock);
        server.start().get(10, TimeUnit.SECONDS);
        WebClient.create(mVertx)
                .put(server.port(), "127.0.0.1", "/faults")
                .sendJsonObject(new JsonObject().put("delay_ms", 3).put("lose_replies", 10))
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        List<KeyValueIntentLog> logs =
                IntStream.range(0, WRITERS).mapToObj(i -> newLog(server.port())).toList();
        List<List<CompletableFuture<IntentDecision>>> decisions = new ArrayList<>();
        for (int key = 0; key < KEYS; key++) {
            IntentKey intent = new IntentKey("orders", "w", "k" + key);
            List<CompletableFuture<IntentDecision>> ofKey = new ArrayList<>();
            for (int i = 0; i < WRITERS; i++) {
                AttemptId attempt = new AttemptId("a" + key + "-" + i);
                ofKey.add(logs.get(i).begin(intent, "h", attempt, Duration.ofSeconds(60)));
            }
            decisions.add(ofKey);
        }

        for (List<CompletableFuture<IntentDecision>> ofKey : decisions) {
            List<IntentDecision> results = new ArrayList<>();
            for (CompletableFuture<IntentDecision> decision : ofKey) {
                results.add(decision.get(40, TimeUnit.SECONDS));
            }
            assertThat(results)
                    .containsExactly(
                            new IntentDecision.Granted(),
                            new IntentDecision.InProgress(),
                            new IntentDecision.InProgress());
        }
    }
}
