package org.tanagergap.endtoend;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Runs the whole system as processes on loopback: the key-value service, engines and an order
 * service in three failure domains, their agents, and two entries.
 */
final class RunningSystem implements AutoCloseable {

    static final String API_KEY_ONE = "demo-one.secret-one";
    static final String API_KEY_TWO = "demo-two.secret-two";

    private static final List<String> DOMAINS = List.of("a", "b", "c");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long RETRY_MILLIS = 100;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, ProgramProcess> mProcesses = new LinkedHashMap<>();
    private final Map<String, Integer> mPorts = new LinkedHashMap<>();

    private final Map<String, ProgramCommand> mCommands = new LinkedHashMap<>();
    private final long mMemoryTokens;
    private final long mPrefillTokensPerSecond;

    private RunningSystem(long memoryTokens, long prefillTokensPerSecond) {
        mMemoryTokens = memoryTokens;
        mPrefillTokensPerSecond = prefillTokensPerSecond;
    }

    /** Starts all programs and waits until the configuration is in effect. */
    static RunningSystem start() throws Exception {
        return start(400_000, 20_000);
    }

    /** Starts all programs with engines of the given memory and prefill rate. */
    static RunningSystem start(long memoryTokens, long prefillTokensPerSecond) throws Exception {
        RunningSystem system = new RunningSystem(memoryTokens, prefillTokensPerSecond);
        try {
            system.startKeyValueService();
            for (String domain : DOMAINS) {
                system.startEngine(domain);
                system.startAgent(domain);
            }
            system.startOrderService();
            system.startEntry(1);
            system.startEntry(2);
            system.submit(system.configurationDocument());
            system.awaitReady();
            return system;
        } catch (Exception | AssertionError e) {
            system.close();
            throw e;
        }
    }

    ProgramProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the port of an interface, for example {@code entry-1} or {@code entry-1-admin}. */
    int port(String name) {
        return mPorts.computeIfAbsent(name, n -> FreePorts.next());
    }

    /** Returns the admin addresses of entries and agents in the format of the command line. */
    String processAddresses() {
        return mPorts.keySet().stream()
                .filter(name -> name.endsWith("-admin"))
                .map(this::address)
                .collect(Collectors.joining(","));
    }

    void startAgent(String domain) {
        startAgent(
                "agent-" + domain,
                "--name engine-%s --failure-domain fd-%s --upstream http://%s --upstream-kind model"
                        + " --service assistant --memory-tokens %d",
                domain,
                domain,
                address("engine-" + domain),
                mMemoryTokens);
    }

    void startEngine(String domain) {
        String name = "engine-" + domain;
        run(
                name,
                "org.tanagergap.standins.engine.EngineMain",
                "--listen %s --memory-tokens %d --prefill-tokens-per-second %d",
                address(name),
                mMemoryTokens,
                mPrefillTokensPerSecond);
    }

    private void startOrderService() {
        run("orders", "org.tanagergap.standins.orders.OrderMain", "--listen %s", address("orders"));
        startAgent(
                "agent-orders",
                "--name orders-a --failure-domain fd-a --upstream http://%s --upstream-kind plain"
                        + " --service orders --key-value %s",
                address("orders"),
                address("key-value"));
    }

    private void startAgent(String name, String settings, Object... values) {
        run(
                name,
                "org.tanagergap.agent.AgentMain",
                "--listen %s --admin-listen %s --trace-output log %s",
                address(name),
                address(name + "-admin"),
                settings.formatted(values));
    }

    void startEntry(int number) {
        String name = "entry-" + number;
        run(
                name,
                "org.tanagergap.entry.EntryMain",
                "--listen %s --admin-listen %s --peer-listen %s --peers %s --id %s"
                        + " --failure-domain fd-%s --key-value %s --trace-output log",
                address(name),
                address(name + "-admin"),
                address(name + "-peer"),
                address("entry-" + (3 - number) + "-peer"),
                name,
                DOMAINS.get(number - 1),
                address("key-value"));
    }

    /** Starts the operator's command-line tool. */
    ProgramProcess startCtl(String... arguments) {
        return ProgramProcess.start("ctl", "org.tanagergap.ctl.CtlMain", arguments);
    }

    /** Submits a document with the command-line tool and returns its exit status. */
    int submit(String document) throws Exception {
        Path file = Files.createTempFile("configuration", ".json");
        Files.writeString(file, document);
        try (ProgramProcess ctl =
                startCtl("submit", "--key-value", address("key-value"), file.toString())) {
            return ctl.waitFor(START_TIMEOUT.toSeconds()).orElseThrow();
        } finally {
            Files.delete(file);
        }
    }

    /** Returns the example configuration for loopback with ports and memory of this system. */
    String configurationDocument() throws IOException {
        String document = Files.readString(Path.of("..", "examples", "local.json"));
        return document.replace("127.0.0.1:7101", address("agent-a"))
                .replace("127.0.0.1:7102", address("agent-b"))
                .replace("127.0.0.1:7103", address("agent-c"))
                .replace("127.0.0.1:7104", address("agent-orders"))
                .replace("\"memory_tokens\": 400000", "\"memory_tokens\": " + mMemoryTokens)
                .replace(
                        "\"max_prompt_tokens\": 1000000",
                        "\"max_prompt_tokens\": " + mMemoryTokens * 5 / 2);
    }

    /** Builds a request for a streamed completion. */
    HttpRequest completion(int entry, String prompt, int maxTokens, String... headers) {
        String body =
                "{\"model\":\"m1\",\"stream\":true,\"max_tokens\":%d,\"prompt\":\"%s\"}"
                        .formatted(maxTokens, prompt);
        return request(entry, "/v1/completions", headers)
                .POST(BodyPublishers.ofString(body))
                .build();
    }

    /** Builds a request that places an order. */
    HttpRequest order(int entry, String idempotencyKey, String body) {
        return request(
                        entry,
                        "/services/orders/orders",
                        "Idempotency-Key",
                        idempotencyKey,
                        "Tanagergap-Deadline-Ms",
                        "5000")
                .POST(BodyPublishers.ofString(body))
                .build();
    }

    /** Builds a request for a stock check, which is idempotent. */
    HttpRequest stock(int entry) {
        return request(entry, "/services/orders/stock").GET().build();
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return mClient.send(request, BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return mClient.sendAsync(request, BodyHandlers.ofString());
    }

    /** Sends a GET request to an interface of the system and returns the response body. */
    String read(String program, String path) throws Exception {
        URI uri = URI.create("http://" + address(program) + path);
        return mClient.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString()).body();
    }

    /** Sets the fault switches of a stand-in. */
    void setFaults(String program, String json) throws Exception {
        URI uri = URI.create("http://" + address(program) + "/faults");
        HttpRequest request =
                HttpRequest.newBuilder(uri).PUT(BodyPublishers.ofString(json)).build();
        mClient.send(request, BodyHandlers.discarding());
    }

    /** Starts a program with the arguments of its last start. */
    void restart(String name) {
        mProcesses.put(name, mCommands.get(name).start());
    }

    /** Starts a program with the arguments of its last start and lowered limits. */
    void restartLimited(String name, ProcessLimits limits) throws InterruptedException {
        process(name).kill();
        mProcesses.put(name, mCommands.get(name).startLimited(limits));
    }

    /** Clears all faults, restarts ended programs and waits until all of them accept requests. */
    void restore() throws Exception {
        for (String name : List.copyOf(mProcesses.keySet())) {
            if (!process(name).isAlive()) {
                restart(name);
            }
        }
        for (String domain : DOMAINS) {
            awaitOk("engine-" + domain, "/health");
            setFaults("engine-" + domain, "{}");
        }
        setFaults("key-value", "{\"outage\":false,\"lose_replies\":0,\"keep_replies\":0}");
        setFaults("orders", "{}");
        awaitReady();
    }

    /** Returns the memory of the runs and reserved segments that the engines themselves list. */
    long engineMemoryTokens(String... domains) throws Exception {
        long tokens = 0;
        for (String domain : domains) {
            JsonArray runs = readJson("engine-" + domain, "/v1/runs").getJsonArray("runs");
            for (int i = 0; i < runs.size(); i++) {
                tokens += runs.getJsonObject(i).getLong("memory_tokens");
            }
        }
        return tokens;
    }

    /** Returns the number of requests that the engines have accepted since their start. */
    long submittedRequests(String... domains) throws Exception {
        long submitted = 0;
        for (String domain : domains) {
            submitted += readJson("engine-" + domain, "/counts").getLong("submitted");
        }
        return submitted;
    }

    JsonObject readJson(String program, String path) throws Exception {
        return new JsonObject(read(program, path));
    }

    /** Waits until all entries and agents report that they accept requests. */
    void awaitReady() throws Exception {
        for (String name : List.copyOf(mPorts.keySet())) {
            if (name.endsWith("-admin")) {
                awaitOk(name, "/readyz");
            }
        }
    }

    void awaitOk(String name, String path) throws Exception {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        URI uri = URI.create("http://" + address(name) + path);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(2)).build();
        while (System.nanoTime() < deadline) {
            try {
                if (mClient.send(request, BodyHandlers.ofString()).statusCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The program is not listening yet.
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
        throw new AssertionError(name + " did not become ready; logs are in target/process-logs");
    }

    @Override
    public void close() throws InterruptedException {
        List<ProgramProcess> newestFirst = new ArrayList<>(mProcesses.values());
        Collections.reverse(newestFirst);
        for (ProgramProcess process : newestFirst) {
            process.close();
        }
    }

    String address(String name) {
        return "127.0.0.1:" + port(name);
    }

    private void startKeyValueService() throws Exception {
        run(
                "key-value",
                "org.tanagergap.standins.keyvalue.KeyValueServiceMain",
                "--listen %s",
                address("key-value"));
        awaitOk("key-value", "/counts");
    }

    private void run(String name, String mainClass, String arguments, Object... values) {
        String[] parts = arguments.formatted(values).split(" ");
        mCommands.put(name, new ProgramCommand(name, mainClass, parts));
        restart(name);
    }

    private HttpRequest.Builder request(int entry, String path, String... headers) {
        URI uri = URI.create("http://" + address("entry-" + entry) + path);
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(uri)
                        .header("Authorization", "Bearer " + API_KEY_ONE)
                        .header("Content-Type", "application/json")
                        .timeout(Duration.ofSeconds(120));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder;
    }
}
