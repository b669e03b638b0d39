package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;
import org.tanagergap.standins.orders.OrderServer;

/**
 * Guards against orders that are placed twice when the stand-in order or key-value service fails.
 */
class OrdersOverNetworkTests {

    private final NetworkFixture mFixture = new NetworkFixture();
    private OrderServer mOrders;
    private KeyValueServer mKeyValue;

    @BeforeEach
    void startAgent() {
        mOrders = new OrderServer(mFixture.mVertx, mFixture.mClock, NetworkFixture.ANY_PORT);
        mKeyValue =
                new KeyValueServer(
                        mFixture.mVertx,
                        NetworkFixture.ANY_PORT,
                        KeyValueLimits.defaults(),
                        mFixture.mClock);
        mFixture.start(mOrders);
        mFixture.start(mKeyValue);
        mFixture.startAgent(
                UpstreamKind.PLAIN,
                mOrders.port(),
                Optional.of(new HostPort("127.0.0.1", mKeyValue.port())));
    }

    @AfterEach
    void nothingStaysReserved() {
        mFixture.awaitTrue(() -> mFixture.status().getReservedTokens() == 0);
        mFixture.close();
    }

    @Test
    void aRepeatedOrderIsReplayed() {
        RecordingSink first = order("a.1", "k1");
        RecordingSink second = order("a.2", "k1");
        assertThat(first.mEvents.get(1).getHead().getStatus()).isEqualTo(201);
        assertThat(second.mEvents.get(0).getHead().getReplayed()).isTrue();
        assertThat(second.mEvents.get(1).getBody()).isEqualTo(first.mEvents.get(2).getBody());
        assertThat(mOrders.book().counts()).containsExactly("k1", 1);
    }

    @Test
    void aConnectionCutDuringTheCallLeavesTheOutcomeUnknown() {
        mFixture.faults(mOrders.port(), new JsonObject().put("cut_after", true));
        assertThat(order("a.1", "k1").failure()).isEqualTo("upstream_failed/UNKNOWN");
        mFixture.faults(mOrders.port(), new JsonObject());
        assertThat(order("a.2", "k1").failure()).isEqualTo("in_progress/UNKNOWN");
        assertThat(mOrders.book().counts()).containsExactly("k1", 1);
    }

    @Test
    void anUnreachableServiceIsNotRunAndTheKeyCanBeUsedAgain() {
        NetworkFixture.await(Futures.toVertx(mOrders.stop()));
        assertThat(order("a.1", "k1").failure()).isEqualTo("upstream_failed/NOT_RUN");
        mFixture.awaitTrue(() -> order("a.2", "k1").failure().equals("upstream_failed/NOT_RUN"));
        assertThat(mOrders.book().counts()).isEmpty();
    }

    @Test
    void anEarlierRefusalThatTheServiceSendsAgainIsNotTakenForThatOfALaterOrder() {
        mFixture.faults(mOrders.port(), new JsonObject().put("refuse", true));
        assertThat(order("a.1", "k1").mEvents.get(1).getHead().getStatus()).isEqualTo(503);
        mFixture.faults(mOrders.port(), new JsonObject().put("repeat_refusals", true));

        RecordingSink placed = order("a.2", "k2");

        assertThat(mOrders.book().counts()).containsExactly("k2", 1);
        assertThat(placed.mEvents.get(1).getHead().getStatus()).isEqualTo(201);
    }

    @Test
    void ordersAreRefusedDuringAnOutageOfTheKeyValueService() {
        mFixture.faults(mKeyValue.port(), new JsonObject().put("outage", true));
        assertThat(order("a.1", "k1").failure()).isEqualTo("unavailable/NOT_RUN");
        assertThat(mOrders.book().counts()).isEmpty();
    }

    @Test
    void idempotentCallsNeedNoKeyValueService() {
        mFixture.faults(mKeyValue.port(), new JsonObject().put("outage", true));
        RunRequest.Builder call = AgentFixture.order("a.1", "");
        call.getPlainBuilder().setMethod("GET").setPath("/stock").setIdempotent(true).clearBody();
        RecordingSink sink = mFixture.run(call.build());
        assertThat(sink.mEvents.get(1).getHead().getStatus()).isEqualTo(200);
        assertThat(sink.last().hasFinished()).isTrue();
    }

    @Test
    void aSilenceOfTheKeyValueServiceLosesAndRepeatsNoOrder() {
        silenceKeyValue(1_400);
        assertThat(order("a.1", "k1").mEvents.get(1).getHead().getStatus()).isEqualTo(201);
        assertThat(order("a.2", "k1").mEvents.get(0).getHead().getReplayed()).isTrue();
        assertThat(mOrders.book().counts()).containsExactly("k1", 1);
    }

    @Test
    void aSilenceOfTheKeyValueServiceLosesNoOutcome() {
        mFixture.faults(mOrders.port(), new JsonObject().put("delay_ms", 800));
        CompletableFuture.delayedExecutor(400, TimeUnit.MILLISECONDS)
                .execute(() -> silenceKeyValue(1_400));
        assertThat(order("a.1", "k1").mEvents.get(1).getHead().getStatus()).isEqualTo(201);
        assertThat(order("a.2", "k1").mEvents.get(0).getHead().getReplayed()).isTrue();
        assertThat(mOrders.book().counts()).containsExactly("k1", 1);
    }

    @Test
    void anOrderRefusedInALongSilenceOfTheKeyValueServiceCanRunOnceAfterwards() {
        silenceKeyValue(3_500);
        assertThat(order("a.1", "k1").failure()).isEqualTo("unavailable/NOT_RUN");
        assertThat(mOrders.book().counts()).isEmpty();
        mFixture.awaitTrue(() -> order("a.2", "k1").last().hasFinished());
        assertThat(order("a.3", "k1").mEvents.get(0).getHead().getReplayed()).isTrue();
        assertThat(mOrders.book().counts()).containsExactly("k1", 1);
    }

    private void silenceKeyValue(long millis) {
        mFixture.faults(mKeyValue.port(), new JsonObject().put("silence_ms", millis));
    }

    private RecordingSink order(String attempt, String key) {
        return mFixture.run(AgentFixture.order(attempt, key).build());
    }
}
