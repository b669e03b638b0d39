package org.tanagergap.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;

class EngineServerTests {

    private final Vertx mVertx = Vertx.vertx();
    private final WebClient mClient = WebClient.create(mVertx);
    private final EngineServer mFirst = server();
    private final EngineServer mSecond = server();

    @BeforeEach
    void startServers() throws Exception {
        mFirst.start().get(10, TimeUnit.SECONDS);
        mSecond.start().get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stopServers() throws Exception {
        mFirst.stop().get(10, TimeUnit.SECONDS);
        mSecond.stop().get(10, TimeUnit.SECONDS);
        mVertx.close();
    }

    @Test
    void streamsTokensThenUsageThenDone() throws Exception {
        String responseBody =
                post(mFirst, "/v1/completions", completion("r1", "lid 38", 3)).bodyAsString();

        assertThat(responseBody).contains("\"index\":2");
        assertThat(responseBody).contains("\"completion_tokens\":3");
        assertThat(responseBody).endsWith("data: [DONE]\n\n");
    }

    @Test
    void generatesTheSameTextForASpanningPromptAsForTheWholePrompt() throws Exception {
        String whole = texts(post(mFirst, "/v1/completions", completion("w", "abcdefgh", 4)));
        JsonObject segment =
                post(
                                mFirst,
                                "/kv/prefill",
                                new JsonObject()
                                        .put("request_id", "s")
                                        .put("model", "m1")
                                        .put("prompt", "abcd"))
                        .bodyAsJsonObject();
        JsonArray parts =
                new JsonArray()
                        .add(
                                new JsonObject()
                                        .put("url", "http://127.0.0.1:" + mFirst.port())
                                        .put("handle", segment.getString("handle")));

        String spanning =
                texts(
                        post(
                                mSecond,
                                "/v1/completions",
                                completion("p", "efgh", 4).put("parts", parts)));

        assertThat(spanning).isEqualTo(whole);
    }

    @Test
    void refusesAnUnknownModelBeforeItRuns() throws Exception {
        HttpResponse<Buffer> response =
                post(mFirst, "/v1/completions", completion("r", "x", 1).put("model", "other"));

        assertThat(response.statusCode()).isEqualTo(404);
    }

    @Test
    void isSilentOnAllConnectionsForAPeriodAndThenGoesOn() throws Exception {
        faults(new JsonObject().put("silence_ms", 400).put("silent_after_tokens", 2));
        long start = System.nanoTime();
        String events =
                post(mFirst, "/v1/completions", completion("r1", "lid 38", 4)).bodyAsString();
        Duration duration = Duration.ofNanos(System.nanoTime() - start);

        assertThat(duration).isAtLeast(Duration.ofMillis(400));
        assertThat(events).contains("\"index\":3");
        assertThat(events).endsWith("data: [DONE]\n\n");

        faults(new JsonObject().put("silence_ms", 400));
        start = System.nanoTime();
        assertThat(get("/load").statusCode()).isEqualTo(200);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isAtLeast(Duration.ofMillis(300));
    }

    @Test
    void endsAStreamWithoutItsLastEvents() throws Exception {
        faults(new JsonObject().put("end_after_tokens", 2));
        String events =
                post(mFirst, "/v1/completions", completion("r1", "lid 38", 4)).bodyAsString();
        assertThat(events).contains("\"index\":1");
        assertThat(events).doesNotContain("\"index\":2");
        assertThat(events).doesNotContain("finish_reason");
        assertThat(events).doesNotContain("[DONE]");

        faults(new JsonObject().put("end_after_tokens", 2).put("end_with_error", true));
        events = post(mFirst, "/v1/completions", completion("r2", "lid 38", 4)).bodyAsString();
        assertThat(events).endsWith("\"message\":\"no memory\"}}\n\n");
    }

    @Test
    void failsCompletionsWithAStatus() throws Exception {
        faults(new JsonObject().put("error_status", 500));
        HttpResponse<Buffer> response =
                post(mFirst, "/v1/completions", completion("r", "lid 38", 1));
        assertThat(response.statusCode()).isEqualTo(500);
    }

    @Test
    void refusesAdministrativeRequestsWithAnOldFencingNumber() throws Exception {
        assertThat(sendAdministrativeRequest(7).statusCode()).isEqualTo(204);
        assertThat(sendAdministrativeRequest(6).statusCode()).isEqualTo(409);
        assertThat(sendAdministrativeRequest(7).statusCode()).isEqualTo(204);
    }

    private void faults(JsonObject faults) throws Exception {
        Futures.toCompletable(
                        mClient.put(mFirst.port(), "127.0.0.1", "/faults").sendJsonObject(faults))
                .get(10, TimeUnit.SECONDS);
    }

    private HttpResponse<Buffer> get(String path) throws Exception {
        return Futures.toCompletable(mClient.get(mFirst.port(), "127.0.0.1", path).send())
                .get(10, TimeUnit.SECONDS);
    }

    private HttpResponse<Buffer> sendAdministrativeRequest(long fencingNumber) throws Exception {
        return post(
                mFirst,
                "/admin/orders",
                new JsonObject().put("kind", "set_role").put("fencing", fencingNumber));
    }

    private static JsonObject completion(String id, String prompt, int maxTokens) {
        return new JsonObject()
                .put("request_id", id)
                .put("model", "m1")
                .put("prompt", prompt)
                .put("max_tokens", maxTokens);
    }

    private static String texts(HttpResponse<Buffer> response) {
        StringBuilder texts = new StringBuilder();
        for (String line : response.bodyAsString().split("\n")) {
            if (line.startsWith("data: {")) {
                texts.append(new JsonObject(line.substring(6)).getString("text", ""));
            }
        }
        return texts.toString();
    }

    private HttpResponse<Buffer> post(EngineServer server, String path, JsonObject body)
            throws Exception {
        return Futures.toCompletable(
                        mClient.post(server.port(), "127.0.0.1", path).sendJsonObject(body))
                .get(10, TimeUnit.SECONDS);
    }

    private EngineServer server() {
        return new EngineServer(
                mVertx,
                new VertxRuntimeClock(mVertx),
                new HostPort("127.0.0.1", 0),
                EngineSettings.of("m1", 100_000),
                new EngineServerSettings(
                        "m1", Duration.ofMillis(100), Duration.ofMillis(10), 0, true));
    }
}
