package org.tanagergap.platform.instances;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.standins.instances.InstanceListServer;
import org.tanagergap.testing.PausedClock;

/** Guards against instances that are missing from the list or have the wrong state. */
class HttpInstanceListTests {

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final Duration LAG = Duration.ofSeconds(3);

    private final Vertx mVertx = Vertx.vertx();
    private final PausedClock mClock = new PausedClock();
    private final InstanceListServer mServer = new InstanceListServer(mVertx, ANY, LAG, mClock);
    private HttpInstanceList mList;

    @BeforeEach
    void start() throws Exception {
        await(mServer.start());
        HostPort address = new HostPort("127.0.0.1", mServer.port());
        mList = new HttpInstanceList(mVertx, address, Duration.ofSeconds(5));
    }

    @AfterEach
    void stop() throws Exception {
        await(mVertx.close().toCompletionStage().toCompletableFuture());
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(10, TimeUnit.SECONDS);
    }

    private int change(HttpMethod method, String path, JsonObject body) throws Exception {
        return await(
                WebClient.create(mVertx)
                        .request(method, mServer.port(), "127.0.0.1", path)
                        .sendJsonObject(body)
                        .map(response -> response.statusCode())
                        .toCompletionStage()
                        .toCompletableFuture());
    }

    private static JsonObject instance(String address, boolean leaving) {
        return new JsonObject()
                .put("address", address)
                .put("failureDomain", "north")
                .put("leaving", leaving);
    }

    @Test
    void readersSeeChangesOfTheirGroupAfterTheLag() throws Exception {
        change(HttpMethod.PUT, "/instances/agents/m1", instance("127.0.0.1:71", false));
        change(HttpMethod.PUT, "/instances/agents/m2", instance("127.0.0.1:72", true));
        change(HttpMethod.PUT, "/instances/entries/e1", instance("127.0.0.1:81", false));
        assertThat(await(mList.read("agents"))).isEmpty();

        mClock.advance(LAG);
        List<Instance> seen = await(mList.read("agents"));
        change(HttpMethod.DELETE, "/instances/agents/m1", new JsonObject());

        assertThat(seen)
                .containsExactly(
                        new Instance("m1", "127.0.0.1:71", "north", false),
                        new Instance("m2", "127.0.0.1:72", "north", true));
        assertThat(await(mList.read("agents"))).hasSize(2);
        mClock.advance(LAG);
        assertThat(await(mList.read("agents")).stream().map(Instance::name)).containsExactly("m2");
    }

    @Test
    void refusesAnInstanceWithoutAnAddress() throws Exception {
        int status = change(HttpMethod.PUT, "/instances/agents/m1", new JsonObject());

        assertThat(status).isEqualTo(400);
    }

    private void putRaw(String name, String item) throws Exception {
        await(
                WebClient.create(mVertx)
                        .put(mServer.port(), "127.0.0.1", "/raw/agents/" + name)
                        .sendBuffer(Buffer.buffer(item))
                        .toCompletionStage()
                        .toCompletableFuture());
    }

    private static String item(String endpoints, String ports) {
        return "{\"metadata\":{\"name\":\"x\",\"labels\":"
                + "{\"kubernetes.io/service-name\":\"agents\"}},\"endpoints\":"
                + endpoints
                + ",\"ports\":"
                + ports
                + "}";
    }

    private static String endpoint(String fields) {
        return "[{\"targetRef\":{\"name\":\"x\"}," + fields + "}]";
    }

    private void assertOnlyTheNeighbourIsListed(String malformedItem) throws Exception {
        change(HttpMethod.PUT, "/instances/agents/m1", instance("127.0.0.1:71", false));
        mClock.advance(LAG);
        putRaw("malformed", malformedItem);

        assertThat(await(mList.read("agents")).stream().map(Instance::name)).containsExactly("m1");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[{\"port\":0}]",
                "[{\"port\":70000}]",
                "[{\"port\":-1}]",
                "[{\"port\":1e400}]",
                "[{\"port\":9999999999999999999999}]",
                "[{\"port\":4294967376}]",
                "[{\"port\":\"80\"}]",
                "[80]",
                "80"
            })
    void anItemWithAMalformedPortIsSkippedAndItsNeighbourListed(String ports) throws Exception {
        String endpoints = endpoint("\"addresses\":[\"127.0.0.1\"]");
        assertOnlyTheNeighbourIsListed(item(endpoints, ports));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"addresses\":[\"x y\"]",
                "\"addresses\":[\"\"]",
                "\"addresses\":[7]",
                "\"addresses\":[null]",
                "\"addresses\":\"127.0.0.1\"",
                "\"addresses\":[\"127.0.0.1\"],\"conditions\":[]",
                "\"addresses\":[\"127.0.0.1\"],\"conditions\":{\"terminating\":\"no\"}",
                "\"addresses\":[\"127.0.0.1\"],\"targetRef\":{\"name\":1e400}",
                "\"addresses\":[\"127.0.0.1\"],\"zone\":{}"
            })
    void aMalformedEndpointIsSkippedAndItsNeighbourListed(String fields) throws Exception {
        assertOnlyTheNeighbourIsListed(item(endpoint(fields), "[{\"port\":80}]"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"7", "null", "[]", "\"x\"", "{\"metadata\":7}", "{\"metadata\":{}}"})
    void anItemThatIsNoSliceIsSkippedAndItsNeighbourListed(String item) throws Exception {
        assertOnlyTheNeighbourIsListed(item);
    }

    @Test
    void aSliceWithoutEndpointsAndPortsHidesNoNeighbour() throws Exception {
        assertOnlyTheNeighbourIsListed(item("null", "null"));
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 900, 5_000, 100_000})
    void aDeeplyNestedItemIsSkippedAndItsNeighbourListed(int depth) throws Exception {
        String nested = "[".repeat(depth) + "]".repeat(depth);
        assertOnlyTheNeighbourIsListed(item(nested, "[{\"port\":80}]"));
    }

    /** New requests would go to an instance that is about to stop. */
    @Test
    void aLeavingInstanceStaysListedWhenItsPortIsMalformed() throws Exception {
        putRaw(
                "m2",
                item(
                        endpoint(
                                "\"addresses\":[\"127.0.0.1\"],"
                                        + "\"conditions\":{\"terminating\":true}"),
                        "[{\"port\":70000}]"));

        assertThat(await(mList.read("agents")).stream().map(Instance::terminating))
                .containsExactly(true);
    }

    @Test
    void failsWhenTheListCannotBeReached() throws Exception {
        await(mServer.stop());

        assertThrows(ExecutionException.class, () -> await(mList.read("agents")));
    }

    /** A read that never ends keeps its bytes, and the next one starts a second later. */
    @Test
    void aListWithoutAnEndFailsTheRead() throws Exception {
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    request.response().setChunked(true).write("{");
                                    mVertx.setPeriodic(50, i -> request.response().write(" "));
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        HostPort address = new HostPort("127.0.0.1", server.actualPort());
        HttpInstanceList list = new HttpInstanceList(mVertx, address, Duration.ofMillis(500));

        ExecutionException e =
                assertThrows(ExecutionException.class, () -> await(list.read("agents")));
        assertThat(e).hasCauseThat().isInstanceOf(TimeoutException.class);
    }
}
