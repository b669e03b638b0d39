package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against refusals without their code, their field or the execution status not_run. */
final class RefusalTests {

    private static final String COMPLETIONS = "/v1/completions";

    /** Error codes of HTTP/2. */
    private static final long INTERNAL_ERROR = 2;

    private static final long REFUSED_STREAM = 7;

    private final EntryHarness mHarness = new EntryHarness();
    private FakeAgent mRunner;
    private FakeAgent mOrders;

    @BeforeEach
    void start() {
        mRunner = mHarness.agent("runner-1");
        mOrders = mHarness.agent("orders-1");
        mHarness.start();
    }

    @AfterEach
    void close() {
        assertThat(mRunner.mRuns).isEmpty();
        assertThat(mOrders.mRuns).isEmpty();
        mHarness.close();
    }

    @Test
    void malformedBodyIsRefused() {
        assertRefused(post(COMPLETIONS, "{\"model\":"), 400, "malformed_request", "body");
        assertRefused(post(COMPLETIONS, "[]"), 400, "malformed_request", "body");
        assertRefused(
                post(COMPLETIONS, "{\"model\":\"lid-7b\"}"), 400, "malformed_request", "/prompt");
        assertRefused(
                post("/v1/chat/completions", "{\"model\":\"lid-7b\",\"messages\":[{}]}"),
                400,
                "malformed_request",
                "/messages/0/role");
        assertRefused(
                post(COMPLETIONS, "{\"model\":\"lid-7b\",\"prompt\":\"x\",\"max_tokens\":0}"),
                400,
                "malformed_request",
                "/max_tokens");
    }

    @Test
    void unknownKeyIsRefused() {
        HttpRequest wrong =
                HttpRequest.newBuilder(mHarness.request(COMPLETIONS).build().uri())
                        .header("Authorization", "Bearer press.wrong")
                        .POST(BodyPublishers.noBody())
                        .build();
        assertRefused(mHarness.send(wrong), 401, "unauthorized", "Authorization");
    }

    @Test
    void unknownModelAndServiceAreRefused() {
        assertRefused(
                post(COMPLETIONS, "{\"model\":\"x\",\"prompt\":\"x\"}"),
                404,
                "unknown_model",
                "/model");
        assertRefused(post("/services/none/x", ""), 404, "unknown_service", "path");
    }

    @Test
    void bodyOverItsLimitIsRefused() {
        assertRefused(post(COMPLETIONS, "x".repeat(100_001)), 413, "body_too_large", "body");
    }

    @Test
    void chunkedBodyOverItsLimitIsRefused() {
        byte[] body = "x".repeat(100_001).getBytes(StandardCharsets.UTF_8);
        HttpRequest request =
                mHarness.request(COMPLETIONS)
                        .POST(
                                BodyPublishers.ofInputStream(
                                        () -> new java.io.ByteArrayInputStream(body)))
                        .build();
        assertRefused(mHarness.send(request), 413, "body_too_large", "body");
    }

    @Test
    void slowBodyTimesOut() throws IOException {
        String head =
                "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
                        + EntryHarness.KEY
                        + "\r\nContent-Length: 100\r\n\r\n{";
        try (Socket socket = new Socket("127.0.0.1", mHarness.mEntry.callerPort())) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            // The entry closes the connection, because the rest of the body never arrives.
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).startsWith("HTTP/1.1 408");
            assertThat(response).contains("\"code\":\"request_timeout\"");
            assertThat(response).contains("\"field\":\"body\",\"execution\":\"not_run\"");
        }
        assertThat(mHarness.mMetrics.getGauges().get("body_bytes_in_flight").getValue())
                .isEqualTo(0L);
    }

    @Test
    void unknownAndForbiddenRanksAreRefused() {
        assertRefused(withHeader("Tanagergap-Rank", "now"), 400, "unknown_rank", "Tanagergap-Rank");
        assertRefused(
                withHeader("Tanagergap-Rank", "overnight"), 403, "forbidden", "Tanagergap-Rank");
    }

    @Test
    void invalidDeadlineIsRefused() {
        for (String value : new String[] {"0", "-1", "soon", "60001", "99999999999999999999"}) {
            assertRefused(
                    withHeader("Tanagergap-Deadline-Ms", value),
                    400,
                    "invalid_deadline",
                    "Tanagergap-Deadline-Ms");
        }
    }

    @Test
    void missingAndMalformedIdempotencyKeysAreRefused() {
        assertRefused(
                post("/services/orders/place", "{}"),
                400,
                "idempotency_key_required",
                "Idempotency-Key");
        HttpRequest request =
                mHarness.request("/services/orders/place")
                        .header("Idempotency-Key", "a b")
                        .POST(BodyPublishers.noBody())
                        .build();
        assertRefused(mHarness.send(request), 400, "malformed_request", "Idempotency-Key");
    }

    /** An agent without memory resets the call; the order was reported as unknown. */
    @Test
    void anOrderThatItsAgentRefusesHasNotRun() {
        mOrders.mRunHandler = Optional.of(request -> request.response().reset(REFUSED_STREAM));

        assertRefused(placeOrder(), 429, "overloaded", null);
    }

    /** Other failures of the call promise nothing. */
    @Test
    void anOrderWhoseCallFailsMayHaveRun() {
        mOrders.mRunHandler = Optional.of(request -> request.response().reset(INTERNAL_ERROR));
        assertThat(execution(placeOrder())).isEqualTo("unknown");

        mOrders.mRunHandler = Optional.of(request -> request.response().setStatusCode(503).end());
        assertThat(execution(placeOrder())).isEqualTo("unknown");
    }

    private HttpResponse<String> placeOrder() {
        return mHarness.send(
                mHarness.request("/services/orders/place")
                        .header("Idempotency-Key", "key-" + System.nanoTime())
                        .POST(BodyPublishers.ofString("{}"))
                        .build());
    }

    private static String execution(HttpResponse<String> response) {
        return new JsonObject(response.body()).getJsonObject("error").getString("execution");
    }

    /**
     * Guards against dot segments that make a non-idempotent call match an idempotent operation.
     */
    @Test
    void dotSegmentsAreNormalizedBeforeTheOperationIsMatched() throws IOException {
        String head =
                "GET /services/orders/stock/../place HTTP/1.1\r\nHost: entry\r\n"
                        + "Connection: close\r\nAuthorization: Bearer "
                        + EntryHarness.KEY
                        + "\r\n\r\n";
        try (Socket socket = new Socket("127.0.0.1", mHarness.mEntry.callerPort())) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).contains("idempotency_key_required");
        }
    }

    private HttpResponse<String> post(String path, String body) {
        return mHarness.send(mHarness.request(path).POST(BodyPublishers.ofString(body)).build());
    }

    private HttpResponse<String> withHeader(String name, String value) {
        return mHarness.send(
                mHarness.request(COMPLETIONS)
                        .header(name, value)
                        .POST(BodyPublishers.noBody())
                        .build());
    }

    private static void assertRefused(
            HttpResponse<String> response, int status, String code, String field) {
        JsonObject error = new JsonObject(response.body()).getJsonObject("error");
        assertThat(error.getString("code")).isEqualTo(code);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(error.getString("field")).isEqualTo(field);
        assertThat(error.getString("execution")).isEqualTo("not_run");
        assertThat(error.getString("request_id"))
                .isEqualTo(response.headers().firstValue("Tanagergap-Request-Id").orElseThrow());
    }
}
