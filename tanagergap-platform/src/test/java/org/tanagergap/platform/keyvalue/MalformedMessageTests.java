package org.tanagergap.platform.keyvalue;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.standins.keyvalue.KeyValueLimits;
import org.tanagergap.standins.keyvalue.KeyValueServer;

/** Guards against malformed messages that stop a watch without a failure or change a number. */
class MalformedMessageTests {

    private static final String GOOD_EVENT =
            "{\"kv\":{\"key\":\"L3cvMQ==\",\"value\":\"MQ==\",\"mod_revision\":\"7\"}}";

    private final Vertx mVertx = Vertx.vertx();
    private final BlockingQueue<KeyValue> mSeen = new LinkedBlockingQueue<>();
    private final CompletableFuture<Throwable> mFailed = new CompletableFuture<>();

    @AfterEach
    void stop() throws Exception {
        await(mVertx.close().toCompletionStage().toCompletableFuture());
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(10, TimeUnit.SECONDS);
    }

    private HttpKeyValueStore connect(int port) {
        HostPort address = new HostPort("127.0.0.1", port);
        return new HttpKeyValueStore(mVertx, address, Duration.ofSeconds(5), new MetricRegistry());
    }

    /** Opens a watch and sends a line to it. */
    private void sendToWatch(String line) throws Exception {
        KeyValueServer server =
                new KeyValueServer(
                        mVertx,
                        new HostPort("127.0.0.1", 0),
                        KeyValueLimits.defaults(),
                        new VertxRuntimeClock(mVertx));
        await(server.start());
        connect(server.port()).watch("/w/").subscribe().with(mSeen::add, mFailed::complete);
        // The gateway confirms a watch only within its stream, which the interface hides.
        TimeUnit.MILLISECONDS.sleep(300);
        await(
                WebClient.create(mVertx)
                        .put(server.port(), "127.0.0.1", "/watch-line")
                        .sendBuffer(Buffer.buffer(line))
                        .toCompletionStage()
                        .toCompletableFuture());
    }

    private HttpKeyValueStore storeThatAnswers(String body) {
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(request -> request.response().end(body))
                        .listen(0, "127.0.0.1")
                        .await();
        return connect(server.actualPort());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7",
                "null",
                "[]",
                "{\"kv\":7}",
                "{\"kv\":{\"key\":\"%\"}}",
                "{\"kv\":{\"key\":\"L3cvMQ==\",\"value\":\"*\"}}",
                "{\"kv\":{\"key\":\"L3cvMQ==\",\"mod_revision\":\"x\"}}",
                "{\"kv\":{\"key\":\"L3cvMQ==\",\"mod_revision\":\"9999999999999999999999\"}}",
                "{\"kv\":{\"key\":\"L3cvMQ==\",\"mod_revision\":1e400}}",
                "{\"kv\":{\"key\":\"L3cvMQ==\",\"mod_revision\":{}}}"
            })
    void aMalformedEventIsSkippedAndItsNeighbourReported(String event) throws Exception {
        sendToWatch("{\"result\":{\"events\":[" + event + "," + GOOD_EVENT + "]}}");

        KeyValue seen = mSeen.poll(5, TimeUnit.SECONDS);
        assertThat(seen).isEqualTo(new KeyValue("/w/1", "1", 7, 0));
        assertThat(mFailed.isDone()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "7", "[]", "{", "{\"result\":7}", "{\"result\":{\"events\":7}}"})
    void aMalformedLineFailsTheWatchSoThatItIsOpenedAgain(String line) throws Exception {
        sendToWatch(line);

        assertThat(await(mFailed)).isInstanceOf(KeyValueException.class);
    }

    @Test
    void nullFieldsCountAsOmitted() throws Exception {
        sendToWatch(
                "{\"result\":{\"canceled\":null,\"events\":null}}\n{\"result\":{\"events\":["
                        + GOOD_EVENT
                        + "]}}");

        KeyValue seen = mSeen.poll(5, TimeUnit.SECONDS);
        assertThat(seen).isEqualTo(new KeyValue("/w/1", "1", 7, 0));
        assertThat(mFailed.isDone()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 900, 5_000})
    void aDeeplyNestedLineFailsTheWatchSoThatItIsOpenedAgain(int depth) throws Exception {
        sendToWatch("{\"result\":" + "{\"a\":[".repeat(depth) + "]}".repeat(depth) + "}");

        assertThat(await(mFailed)).isInstanceOf(KeyValueException.class);
    }

    /** Its bytes would be kept until the memory of the process is full. */
    @Test
    void aLineWithoutAnEndFailsTheWatch() throws Exception {
        Buffer chunk = Buffer.buffer("x".repeat(1 << 20));
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    request.response().setChunked(true);
                                    for (int i = 0; i < 40; i++) {
                                        request.response().write(chunk);
                                    }
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        connect(server.actualPort()).watch("/w/").subscribe().with(mSeen::add, mFailed::complete);

        assertThat(await(mFailed)).isInstanceOf(KeyValueException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "7",
                "{\"kvs\":7}",
                "{\"kvs\":[7]}",
                "{\"kvs\":[null]}",
                "{\"kvs\":[{\"key\":\"%\"}]}",
                "{\"kvs\":[{\"key\":\"YQ==\",\"mod_revision\":1e400}]}",
                "{\"kvs\":[{\"key\":\"YQ==\",\"mod_revision\":\"9999999999999999999999\"}]}"
            })
    void aMalformedReplyFailsTheCallWithAnUnknownResult(String body) {
        HttpKeyValueStore store = storeThatAnswers(body);

        for (CompletableFuture<?> call :
                List.of(store.read("/a"), store.readRange("/a", "/b", 10))) {
            ExecutionException e = assertThrows(ExecutionException.class, () -> await(call));
            assertThat(e).hasCauseThat().isInstanceOf(KeyValueException.class);
            assertThat(((KeyValueException) e.getCause()).notApplied()).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"header\":{\"revision\":1e400},\"succeeded\":true}",
                "{\"header\":7,\"succeeded\":true}",
                "{\"succeeded\":\"yes\"}"
            })
    void aMalformedReplyToATransactionIsReportedAsUnknown(String body) {
        CompletableFuture<TransactionResult> call =
                storeThatAnswers(body).commit(new Transaction(List.of(), List.of()));

        ExecutionException e = assertThrows(ExecutionException.class, () -> await(call));
        assertThat(e).hasCauseThat().isInstanceOf(KeyValueException.class);
        assertThat(((KeyValueException) e.getCause()).notApplied()).isFalse();
    }

    @Test
    void aValueWithInvalidUtf8IsReadAsText() throws Exception {
        KeyValue value =
                await(
                                storeThatAnswers(
                                                "{\"kvs\":[{\"key\":\"YQ==\",\"value\":\"w/8=\"}]}")
                                        .read("a"))
                        .orElseThrow();

        assertThat(value.value()).isEqualTo("\uFFFD\uFFFD");
    }
}
