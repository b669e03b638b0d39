package org.tanagergap.entry;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Multi;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.OperationDefinition;
import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.configuration.ServiceKind;
import org.tanagergap.api.configuration.UpstreamDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;
import org.tanagergap.decisions.cost.TokenEstimator;
import org.tanagergap.decisions.retry.RetryBudget;
import org.tanagergap.decisions.routing.RouterSettings;
import org.tanagergap.decisions.routing.SubsetRequestRouter;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.entry.caller.CallerSettings;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.tls.TlsReloader;
import org.tanagergap.runtime.tls.TlsSettings;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.StoredConfiguration;
import org.tanagergap.state.configuration.SubmitResult;

/** Entry with fake agents and a fake configuration store, called over HTTP as callers do. */
final class EntryHarness implements AutoCloseable {

    static final String KEY = "press.secret";
    static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    final Vertx mVertx;
    final MetricRegistry mMetrics = new MetricRegistry();
    final Map<String, FakeAgent> mAgents = new LinkedHashMap<>();
    final HttpClient mClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    RetryBudget mRetryBudget = new RetryBudget();

    /** Calls for reservation, release and prefill that all agents received, in order. */
    final List<String> mCalls = new CopyOnWriteArrayList<>();

    long mMaxBodyBytes = 100_000;
    Duration mBodyTimeout = Duration.ofMillis(300);
    long mMemoryTokens = 100_000;
    List<HostPort> mPeers = List.of();
    Optional<TlsSettings> mTls = Optional.empty();
    boolean mStoreAvailable = true;

    /** Document that the store holds instead of that of the agents. */
    Optional<String> mStoredDocument = Optional.empty();

    EntryService mEntry;

    EntryHarness() {
        this(Vertx.vertx());
    }

    EntryHarness(Vertx vertx) {
        mVertx = vertx;
    }

    FakeAgent agent(String name) {
        return agent(
                name, new TlsReloader(mVertx, new VertxRuntimeClock(mVertx), Optional.empty()));
    }

    FakeAgent agent(String name, TlsReloader tls) {
        FakeAgent agent = new FakeAgent(name, mCalls).start(mVertx, tls);
        mAgents.put(name, agent);
        return agent;
    }

    EntryHarness start() {
        ProgramContext context =
                new ProgramContext(
                        mVertx,
                        new VertxRuntimeClock(mVertx),
                        mMetrics,
                        new Tracing("test", TraceOutput.NONE, Optional.empty()),
                        ANY_PORT);
        EntrySettings settings =
                new EntrySettings(
                        "entry-1",
                        "north",
                        new CallerSettings(ANY_PORT, mMaxBodyBytes, 1_000_000, mBodyTimeout),
                        ANY_PORT,
                        mPeers,
                        ANY_PORT,
                        Optional.empty(),
                        mTls,
                        Duration.ZERO);
        mEntry = new EntryService(context, settings, components(context));
        mEntry.start().join();
        if (mStoreAvailable && mStoredDocument.isEmpty()) {
            await(() -> mEntry.isReady());
        }
        return this;
    }

    private EntryComponents components(ProgramContext context) {
        return new EntryComponents(
                new FakeStore(),
                Optional.empty(),
                ConfigurationDocument::parse,
                new SubsetRequestRouter(
                        context.clock(), RouterSettings.defaults("north"), new Random(1)),
                mRetryBudget,
                new TokenEstimator());
    }

    Configuration configuration() {
        List<UpstreamDefinition> upstreams = new ArrayList<>();
        for (Map.Entry<String, FakeAgent> agent : mAgents.entrySet()) {
            boolean plain = agent.getKey().startsWith("orders");
            upstreams.add(
                    new UpstreamDefinition(
                            agent.getKey(),
                            plain ? "orders" : "lids",
                            agent.getValue().address(),
                            "north",
                            plain ? 0 : mMemoryTokens,
                            plain ? 4 : 0,
                            false));
        }
        long modelAgents = upstreams.stream().filter(u -> u.memoryTokens() > 0).count();
        return new Configuration(
                0,
                List.of(
                        new ServiceDefinition(
                                "lids",
                                ServiceKind.MODEL,
                                Optional.of("lid-7b"),
                                mMemoryTokens * modelAgents,
                                List.of()),
                        new ServiceDefinition(
                                "orders",
                                ServiceKind.PLAIN,
                                Optional.empty(),
                                0,
                                List.of(new OperationDefinition("GET", "/stock", true)))),
                List.of(
                        new WorkspaceDefinition(
                                "press",
                                2,
                                List.of("lids", "orders"),
                                List.of("urgent"),
                                "urgent",
                                List.of(key("press", "secret")))),
                List.of(rank("urgent", 0), rank("overnight", 1)),
                upstreams);
    }

    private static RankDefinition rank(String name, int priority) {
        return new RankDefinition(
                name, priority, 20, Duration.ofSeconds(20), Duration.ofSeconds(60));
    }

    private static KeyDefinition key(String id, String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] salt = new byte[16];
            digest.update(salt);
            byte[] hash = digest.digest(secret.getBytes(StandardCharsets.UTF_8));
            HexFormat hex = HexFormat.of();
            return new KeyDefinition(id, hex.formatHex(salt), hex.formatHex(hash));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mEntry.callerPort() + path))
                .header("Authorization", "Bearer " + KEY);
    }

    HttpRequest completion(boolean stream) {
        String body =
                "{\"model\":\"lid-7b\",\"prompt\":\"which lid fits\",\"stream\":" + stream + "}";
        return request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body)).build();
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    long counter(String name) {
        return mMetrics.counter(name).getCount();
    }

    static void await(BooleanSupplier condition) {
        for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
            pause(10);
        }
        if (!condition.getAsBoolean()) {
            throw new AssertionError("the condition did not become true within 10 s");
        }
    }

    /**
     * Waits until a count has not changed for 500 ms, because buffers fill slowly on a busy
     * machine.
     */
    static long countWhenItStandsStill(AtomicLong count) {
        for (int i = 0; i < 20; i++) {
            long before = count.get();
            pause(500);
            if (count.get() == before) {
                return before;
            }
        }
        throw new AssertionError("the count has not stood still within 10 s");
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        mVertx.close().await();
    }

    private final class FakeStore implements ConfigurationStore {
        @Override
        public CompletableFuture<Optional<StoredConfiguration>> read() {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<SubmitResult> submit(String document, long base, String nonce) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<SubmitResult> outcome(String nonce) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Multi<StoredConfiguration> watch() {
            if (!mStoreAvailable) {
                return Multi.createFrom().nothing();
            }
            String document =
                    mStoredDocument.orElseGet(() -> ConfigurationDocument.write(configuration()));
            return Multi.createFrom().item(new StoredConfiguration(1, document));
        }
    }
}
