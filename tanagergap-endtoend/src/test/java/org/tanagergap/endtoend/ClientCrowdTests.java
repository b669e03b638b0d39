package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagergap.testing.ClientCrowd;
import org.tanagergap.testing.ClientScript;
import org.tanagergap.testing.Http2Frames;
import org.tanagergap.testing.Http2Frames.HeaderBlock;

/**
 * Guards the processes of entries and agents against crowds of clients that keep to no limit. Each
 * of these crowds filled the memory of a process.
 */
final class ClientCrowdTests {

    private static final ProcessLimits LIMITS = new ProcessLimits(64, 16_000);

    /** The smallest machine of an entry has 330 MB, that of an agent 362 MB. */
    private static final long MAX_RESIDENT_KILOBYTES = 256 << 10;

    private static final Set<String> AGENTS = Set.of("agent-a", "agent-b", "agent-c");
    private static final int HEAD_BYTES = 8000;
    private static final int FIELDS = 200;
    private static final int STREAMS = 100;
    private static final int BODY_BYTES = 8 << 20;
    private static final int DOCUMENT_BYTES = 100_000;
    private static final int MESSAGE_BYTES = 30 << 20;
    private static final int WINDOW_BYTES = 65_535;
    private static final int FRAME_BYTES = 16 << 10;
    private static final int FIRST_REQUESTS = 2;
    private static final long CROWD_MILLIS = 6_000;
    private static final long WAIT_MILLIS = 20_000;

    private static final String COMPLETIONS = "/v1/completions";
    private static final String GRPC_WEB = "Content-Type: application/grpc-web+proto\r\n";
    private static final int PREFIX_BYTES = 5;
    private static final String AGENT_RUN = "/tanagergap.v1.UpstreamAgent/Run";
    private static final String AGENT_STATUS = "/tanagergap.v1.UpstreamAgent/Status";
    private static final String PEER_CALL = "/tanagergap.v1.EntryPeer/Configuration";

    private static RunningSystem sSystem;

    /**
     * A crowd at a port.
     *
     * @param port name of the port, such as "entry-1-admin"
     */
    private record Crowd(String name, String port, int clients, IntFunction<ClientScript> scripts) {

        /** Program whose port it is. */
        String program() {
            return port.replaceFirst("-(admin|peer)$", "");
        }

        @Override
        public String toString() {
            return name + " at " + port;
        }
    }

    @BeforeAll
    static void startSystem() throws Exception {
        sSystem = RunningSystem.start();
        String document = sSystem.configurationDocument();
        sSystem.submit(document + " ".repeat(DOCUMENT_BYTES));
    }

    @AfterAll
    static void stopSystem() throws Exception {
        sSystem.close();
    }

    private static String head(String request) {
        return request
                + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer "
                + RunningSystem.API_KEY_ONE
                + "\r\n";
    }

    private static ClientScript unfinishedHead(int client) {
        String head = head("POST " + COMPLETIONS);
        return ClientScript.of(head).thenRepeat("a:\r\n", HEAD_BYTES - head.length());
    }

    /** A message of a gRPC call begins with its length. */
    private static String start(String type) {
        byte[] prefix = ByteBuffer.allocate(PREFIX_BYTES).putInt(1, BODY_BYTES).array();
        return type.isEmpty() ? "" : new String(prefix, StandardCharsets.ISO_8859_1);
    }

    private static ClientScript unfinishedBody(String path, String type) {
        String head = head("POST " + path) + type + "Content-Length: " + BODY_BYTES + "\r\n\r\n";
        return ClientScript.of(head + start(type))
                .thenRepeat("x".repeat(FRAME_BYTES), BODY_BYTES - 10 - start(type).length());
    }

    private static ClientScript unfinishedChunks(String path, String type) {
        String chunk = "40\r\n" + "x".repeat(64) + "\r\n";
        long bytes = (long) chunk.length() * (BODY_BYTES / 64) - 100;
        String head = head("POST " + path) + type + "Transfer-Encoding: chunked\r\n\r\n";
        String first = type.isEmpty() ? "" : "5\r\n" + start(type) + "\r\n";
        return ClientScript.of(head + first).thenRepeat(chunk.repeat(200), bytes);
    }

    private static ClientScript shortRequest(int client) {
        return ClientScript.shortRequest(head("POST " + COMPLETIONS), client);
    }

    private static HeaderBlock call(String path) {
        return HeaderBlock.of("POST", path)
                .add("content-type", "application/grpc")
                .add("te", "trailers")
                .add("authorization", "Bearer " + RunningSystem.API_KEY_ONE);
    }

    private static ClientScript unfinishedStreams(String path) {
        HeaderBlock fields = call(path);
        IntStream.range(0, FIELDS).forEach(i -> fields.add("a", ""));
        Http2Frames frames = new Http2Frames();
        IntStream.range(0, STREAMS).forEach(i -> frames.request(fields));
        return ClientScript.of(frames.bytes());
    }

    private static ClientScript unfinishedMessage(String path) {
        Http2Frames frames = new Http2Frames().request(call(path));
        frames.data(ByteBuffer.allocate(PREFIX_BYTES).putInt(1, MESSAGE_BYTES).array());
        int sent = PREFIX_BYTES;
        while (sent < WINDOW_BYTES) {
            int part = Math.min(FRAME_BYTES, WINDOW_BYTES - sent);
            frames.data(new byte[part]);
            sent += part;
        }
        return ClientScript.of(frames.bytes());
    }

    private static ClientScript shortMessage(int client, String path) {
        Http2Frames frames = new Http2Frames().request(call(path)).data(new byte[3]);
        ClientScript script = ClientScript.of(frames.bytes());
        return client % 4 == 0 ? script.thenLeave() : script;
    }

    /** Complete calls whose replies the client does not let the server send. */
    private static ClientScript unreadReplies(String path) {
        Http2Frames frames = Http2Frames.withoutWindow();
        HeaderBlock fields = call(path);
        byte[] emptyMessage = new byte[PREFIX_BYTES];
        IntStream.range(0, STREAMS).forEach(i -> frames.request(fields).lastData(emptyMessage));
        return ClientScript.of(frames.bytes());
    }

    private static Stream<Crowd> entryCrowds() {
        return crowds("entry-1", "entry-1-peer", "entry-1-admin");
    }

    private static Stream<Crowd> agentCrowds() {
        return crowds("agent-a", "agent-a-admin");
    }

    private static Stream<Crowd> crowds(String... ports) {
        return Stream.of(ports).flatMap(port -> Stream.concat(plain(port), special(port)));
    }

    private static Stream<Crowd> plain(String port) {
        return Stream.of(
                new Crowd("heads", port, 300, ClientCrowdTests::unfinishedHead),
                new Crowd("connections", port, 3000, ClientCrowdTests::shortRequest));
    }

    private static Stream<Crowd> special(String port) {
        return switch (port) {
            case "entry-1" ->
                    Stream.concat(bodies(port, COMPLETIONS, ""), multiplexed(port, COMPLETIONS));
            case "entry-1-peer" -> Stream.concat(calls(port, PEER_CALL), unread(port, PEER_CALL));
            case "agent-a" -> Stream.concat(calls(port, AGENT_RUN), unread(port, AGENT_STATUS));
            default -> Stream.empty();
        };
    }

    private static Stream<Crowd> calls(String port, String path) {
        return Stream.concat(bodies(port, path, GRPC_WEB), multiplexed(port, path));
    }

    private static Stream<Crowd> unread(String port, String path) {
        return Stream.of(new Crowd("HTTP/2 replies", port, 100, c -> unreadReplies(path)));
    }

    private static Stream<Crowd> bodies(String port, String path, String type) {
        return Stream.of(
                new Crowd("bodies", port, 300, c -> unfinishedBody(path, type)),
                new Crowd("chunks of 64 bytes", port, 300, c -> unfinishedChunks(path, type)));
    }

    private static Stream<Crowd> multiplexed(String port, String path) {
        return Stream.of(
                new Crowd("HTTP/2 heads", port, 100, c -> unfinishedStreams(path)),
                new Crowd("HTTP/2 bodies", port, 1500, c -> unfinishedMessage(path)),
                new Crowd("HTTP/2 connections", port, 3000, c -> shortMessage(c, path)));
    }

    @ParameterizedTest
    @MethodSource("entryCrowds")
    void aCrowdDoesNotFillTheMemoryOfAnEntry(Crowd crowd) throws Exception {
        verify(crowd);
    }

    @ParameterizedTest
    @MethodSource("agentCrowds")
    void aCrowdDoesNotFillTheMemoryOfAnAgent(Crowd crowd) throws Exception {
        verify(crowd);
    }

    private static void verify(Crowd crowd) throws Exception {
        sSystem.restore();
        sSystem.restartLimited(crowd.program(), LIMITS);
        sSystem.awaitReady();
        killOtherAgents(crowd.program());
        connectEntry();
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", sSystem.port(crowd.port()));
        try (ClientCrowd clients = ClientCrowd.open(address, crowd.clients(), crowd.scripts())) {
            TimeUnit.MILLISECONDS.sleep(CROWD_MILLIS);
            verify(crowd.program());
        }
    }

    /** Each request needs the agent under test; with others, the entry prefers a less busy one. */
    private static void killOtherAgents(String program) throws Exception {
        if (!AGENTS.contains(program)) {
            return;
        }
        for (String agent : AGENTS) {
            if (!agent.equals(program)) {
                sSystem.process(agent).kill();
            }
        }
    }

    /** Lets the entry connect to a program that has started, as those that run have connected. */
    private static void connectEntry() throws Exception {
        for (int i = 0; i < FIRST_REQUESTS; i++) {
            assertWithMessage("served before the crowd comes")
                    .that(isOrdinaryRequestServed())
                    .isTrue();
        }
    }

    private static void verify(String program) throws Exception {
        ProgramProcess process = sSystem.process(program);
        assertWithMessage("alive: %s", lastLines(process)).that(process.isAlive()).isTrue();
        assertWithMessage("peak of the memory in kB")
                .that(process.usage().peakResidentKilobytes())
                .isAtMost(MAX_RESIDENT_KILOBYTES);
        assertWithMessage("open descriptors")
                .that(process.usage().openDescriptors())
                .isLessThan((long) LIMITS.maxDescriptors());
        assertWithMessage("an ordinary request is answered, %s", lastLines(process))
                .that(isOrdinaryRequestServed())
                .isTrue();
        assertWithMessage("output").that(process.output()).doesNotContain("OutOfMemoryError");
    }

    private static String lastLines(ProgramProcess process) throws IOException {
        String output = process.output();
        return output.substring(Math.max(0, output.length() - 2000));
    }

    /** Sends requests until one is served. */
    private static boolean isOrdinaryRequestServed() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (System.nanoTime() < end) {
            String prompt = "which lid fits " + System.nanoTime();
            try {
                HttpResponse<String> response = sSystem.send(sSystem.completion(1, prompt, 2));
                if (response.statusCode() == 200) {
                    return true;
                }
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(100);
            }
        }
        return false;
    }
}
