package org.tanagergap.measure.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.state.intent.IntentKey;
import org.tanagergap.state.intent.IntentLogSettings;
import org.tanagergap.state.intent.KeyValueIntentLog;
import org.tanagergap.state.intent.RecordedResponse;
import org.tanagergap.testing.PausedClock;

/** Heap and writes of an order agent by number of non-idempotent calls. */
final class IntentSlopes {

    private static final List<Integer> SIZES = List.of(2_000, 4_000, 8_000);
    private static final int CALLS_PER_SECOND = 400;
    private static final Duration CALL_INTERVAL = Duration.ofSeconds(1).dividedBy(CALLS_PER_SECOND);

    private IntentSlopes() {}

    static List<Slope> measure() {
        Slope heap = new Slope("heap of the intent log per key", "bytes");
        Slope writes =
                new Slope(
                        "writes of the intent log per call, %d calls/s, one writer"
                                .formatted(CALLS_PER_SECOND),
                        "writes");
        for (int size : SIZES) {
            heap.add(
                    size,
                    ResourceMeter.retainedBytes(
                            () -> filledIntentLog(size, new DiscardingKeyValueStore())));
            DiscardingKeyValueStore store = new DiscardingKeyValueStore();
            filledIntentLog(size, store);
            writes.add(size, store.writes());
        }
        return List.of(heap, writes);
    }

    private static KeyValueIntentLog filledIntentLog(int calls, DiscardingKeyValueStore store) {
        PausedClock clock = new PausedClock();
        KeyValueIntentLog log = new KeyValueIntentLog(store, clock, IntentLogSettings.defaults());
        RecordedResponse response =
                new RecordedResponse(201, "application/json", Optional.of("{\"order\":1}"));
        for (int i = 0; i < calls; i++) {
            IntentKey key = new IntentKey("orders", "workspace-" + i % 100, "order-" + i);
            AttemptId attempt = new AttemptId("entry-001-" + i + ".1");
            log.begin(key, "%064x".formatted(i), attempt, Duration.ofSeconds(10))
                    .thenRun(() -> log.recordOutcome(key, attempt, response));
            clock.advance(CALL_INTERVAL);
        }
        clock.advance(Duration.ofSeconds(1));
        return log;
    }
}
