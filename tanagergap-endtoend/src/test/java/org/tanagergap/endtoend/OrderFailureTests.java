package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against orders that run twice, or are reported with a wrong outcome, when the key-value
 * service, the order service or its agent fails. Orders must run at most once.
 */
// The tests share one running system, so their order is fixed.
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
@ExtendWith(SharedSystemExtension.class)
@Timeout(60)
class OrderFailureTests {

    private static final String BODY = "{\"lids\":4}";

    private final RunningSystem mSystem;

    OrderFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    @Order(3)
    void anOrderIsRefusedAsNotRunDuringAKeyValueOutageAndRunsOnceAfterIt() throws Exception {
        awaitOrderService();
        mSystem.setFaults("key-value", "{\"outage\":true}");

        HttpResponse<String> refused = mSystem.send(mSystem.order(1, "outage", BODY));

        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("\"execution\":\"not_run\"");
        assertThat(placedOrders("outage")).isEqualTo(0);
        mSystem.setFaults("key-value", "{\"outage\":false}");
        Waiting.until(
                "an order runs after an outage of the key-value service",
                Duration.ofSeconds(10),
                () -> mSystem.send(mSystem.order(2, "outage", BODY)).statusCode() == 201);
        assertThat(placedOrders("outage")).isEqualTo(1);
    }

    @Test
    @Order(1)
    void lostRepliesOfTheKeyValueServiceDoNotDuplicateOrders() throws Exception {
        awaitOrderService();
        for (int lost = 1; lost <= 3; lost++) {
            String key = "lost-" + lost;
            mSystem.setFaults("key-value", "{\"lose_replies\":" + lost + "}");

            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                responses.add(mSystem.sendAsync(mSystem.order(1 + i % 2, key, BODY)));
            }
            int created = 0;
            for (CompletableFuture<HttpResponse<String>> pending : responses) {
                created += pending.get(30, TimeUnit.SECONDS).statusCode() == 201 ? 1 : 0;
            }
            assertWithMessage("orders placed with %s lost replies", lost)
                    .that(placedOrders(key))
                    .isAtMost(1);
            assertWithMessage("201 without a placed order with %s lost replies", lost)
                    .that(created > 0 && placedOrders(key) == 0)
                    .isFalse();
        }
    }

    @Test
    @Order(4)
    void anOrderWhoseConnectionIsCutIsReportedAsUnknownAndNeverRepeated() throws Exception {
        awaitOrderService();
        for (String fault : List.of("cut_before", "cut_after")) {
            mSystem.setFaults("orders", "{\"" + fault + "\":true}");
            HttpResponse<String> first = mSystem.send(mSystem.order(1, fault, BODY));
            mSystem.setFaults("orders", "{}");
            int placed = placedOrders(fault);

            HttpResponse<String> repeat = mSystem.send(mSystem.order(2, fault, BODY));

            assertThat(first.body()).contains("\"execution\":\"unknown\"");
            assertThat(repeat.statusCode()).isEqualTo(409);
            assertThat(repeat.body()).contains("\"execution\":\"unknown\"");
            assertThat(placed).isEqualTo(fault.equals("cut_after") ? 1 : 0);
            assertThat(placedOrders(fault)).isEqualTo(placed);
        }
    }

    @Test
    @Order(2)
    void anOrderIsNotRepeatedWhenItsAgentIsKilledBeforeItsOutcomeIsRecorded() throws Exception {
        awaitOrderService();
        mSystem.setFaults("orders", "{\"delay_ms\":4000}");
        CompletableFuture<HttpResponse<String>> first =
                mSystem.sendAsync(mSystem.order(1, "killed", BODY));
        Waiting.until(
                "the order is placed", Duration.ofSeconds(5), () -> placedOrders("killed") == 1);

        mSystem.process("agent-orders").kill();

        HttpResponse<String> response = first.get(30, TimeUnit.SECONDS);
        assertThat(response.body()).contains("\"execution\":\"unknown\"");
        mSystem.setFaults("orders", "{}");
        mSystem.restart("agent-orders");
        awaitOrderService();
        for (int entry : List.of(2, 1)) {
            HttpResponse<String> repeat = mSystem.send(mSystem.order(entry, "killed", BODY));
            assertThat(repeat.statusCode()).isEqualTo(409);
            assertThat(repeat.body()).contains("\"execution\":\"unknown\"");
        }
        assertThat(placedOrders("killed")).isEqualTo(1);
    }

    /**
     * Guards against exceeding the write budget of the key-value service: orders that arrive
     * together share a record.
     */
    @Test
    @Order(5)
    void ordersThatArriveTogetherShareWritesToTheKeyValueService() throws Exception {
        awaitOrderService();
        int orders = 100;
        JsonObject before = mSystem.readJson("key-value", "/counts");
        long start = System.nanoTime();
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < orders; i++) {
            responses.add(mSystem.sendAsync(mSystem.order(1 + i % 2, "burst-" + i, BODY)));
        }
        for (CompletableFuture<HttpResponse<String>> pending : responses) {
            assertThat(pending.get(30, TimeUnit.SECONDS).statusCode()).isEqualTo(201);
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        JsonObject after = mSystem.readJson("key-value", "/counts");
        long writes = difference(before, after, "writes");
        System.out.printf(
                "measured: %d orders in %d ms: %d writes, %d reads%n",
                orders, millis, writes, difference(before, after, "reads"));
        // Without batches, the intent and the outcome of each order would take 200 writes.
        assertThat(writes).isLessThan(2L * orders);
        assertThat(difference(before, after, "refused")).isEqualTo(0);
        for (int i = 0; i < orders; i++) {
            assertThat(placedOrders("burst-" + i)).isEqualTo(1);
        }
    }

    /** Waits until both entries have probed a restarted agent and send requests to it again. */
    private void awaitOrderService() throws Exception {
        for (int entry : List.of(1, 2)) {
            Waiting.until(
                    "entry " + entry + " reaches the order agent",
                    Duration.ofSeconds(15),
                    () -> mSystem.send(mSystem.stock(entry)).statusCode() == 200);
        }
    }

    private int placedOrders(String key) throws Exception {
        return mSystem.readJson("orders", "/counts").getInteger(key, 0);
    }

    private static long difference(JsonObject before, JsonObject after, String kind) {
        return after.getLong(kind, 0L) - before.getLong(kind, 0L);
    }
}
