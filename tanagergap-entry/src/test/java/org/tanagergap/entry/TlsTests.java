package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.tanagergap.entry.EntryHarness.await;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagergap.entry.agent.AgentClients;
import org.tanagergap.protocol.v1.ConfigurationRequest;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.tls.TlsReloader;
import org.tanagergap.runtime.tls.TlsSettings;
import org.tanagergap.testing.PausedClock;
import org.tanagergap.testing.TestKeys;

/**
 * Guards against ports of an entry that accept clear text or keys of another authority, and against
 * new keys that break calls in progress.
 */
class TlsTests {

    @TempDir Path mEntryKeys;
    @TempDir Path mAgentKeys;
    private final EntryHarness mHarness = new EntryHarness();

    @AfterEach
    void close() {
        mHarness.close();
    }

    @Test
    void aCompletionPassesOverTlsFromTheCallerToTheAgent() {
        start("process", "first");
        HttpResponse<Buffer> response = complete(caller());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.version()).isEqualTo(HttpVersion.HTTP_2);
        assertThat(agent().mRuns).hasSize(1);
    }

    @Test
    void anAgentOfAnotherAuthorityGetsNoWork() {
        start("stranger", "first");
        HttpResponse<Buffer> response = complete(caller());
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.bodyAsJsonObject().getJsonObject("error").getString("execution"))
                .isEqualTo("not_run");
        assertThat(agent().mRuns).isEmpty();
    }

    @Test
    void clearTextIsRefusedOnTheCallerPort() {
        start("process", "first");
        WebClient clearText = WebClient.create(mHarness.mVertx);
        assertThrows(Exception.class, () -> complete(clearText));
        assertThat(agent().mRuns).isEmpty();
    }

    @Test
    void thePeerPortServesOnlyPeersOfTheAuthority() {
        start("process", "first");
        assertThat(configurationVersion(Optional.of(settings(mAgentKeys)))).isEqualTo(1);
        new TestKeys(mAgentKeys).use("stranger", "first");
        assertThrows(
                CompletionException.class,
                () -> configurationVersion(Optional.of(settings(mAgentKeys))));
        assertThrows(CompletionException.class, () -> configurationVersion(Optional.empty()));
    }

    @Test
    void newKeysOfTheClientDoNotCutItsCalls() throws Exception {
        TlsReloader agentTls = agentTls("process", "first");
        FakeAgent agent = mHarness.agent("engine-1", agentTls);
        PausedClock clock = new PausedClock();
        new TestKeys(mEntryKeys).use("process", "first");
        TlsReloader tls =
                new TlsReloader(mHarness.mVertx, clock, Optional.of(settings(mEntryKeys)));
        tls.start().join();
        CompletableFuture<Void> reloaded = new CompletableFuture<>();
        AgentClients clients = new AgentClients(mHarness.mVertx, tls);
        tls.onChange(() -> reloaded.complete(null));
        CompletableFuture<FakeAgent.Stream> script = new CompletableFuture<>();
        agent.mScript = (request, stream) -> script.complete(stream);
        CompletableFuture<Void> ended = new CompletableFuture<>();
        clients.connectForRun(agent.address())
                .compose(
                        call -> {
                            call.end(org.tanagergap.protocol.v1.RunRequest.getDefaultInstance());
                            return call.response();
                        })
                .onSuccess(
                        grpcResponse -> {
                            grpcResponse.exceptionHandler(ended::completeExceptionally);
                            grpcResponse.endHandler(ignored -> ended.complete(null));
                        })
                .onFailure(ended::completeExceptionally);
        script.get(10, TimeUnit.SECONDS);
        new TestKeys(mEntryKeys).use("renewed", "first");
        clock.advance(java.time.Duration.ofSeconds(10));
        reloaded.get(10, TimeUnit.SECONDS);
        // Another call uses the new client, over another connection.
        clients.agent(agent.address())
                .compose(
                        client ->
                                client.exchange(
                                        org.tanagergap.protocol.v1.ExchangeRequest
                                                .getDefaultInstance()))
                .await(10, TimeUnit.SECONDS);
        assertThat(ended.isDone()).isFalse();
        script.join().complete(3);
        ended.get(10, TimeUnit.SECONDS);
    }

    private long configurationVersion(Optional<TlsSettings> tls) {
        AgentClients clients =
                new AgentClients(
                        mHarness.mVertx,
                        new TlsReloader(
                                mHarness.mVertx, new VertxRuntimeClock(mHarness.mVertx), tls));
        return clients.peer(new HostPort("127.0.0.1", mHarness.mEntry.peerPort()))
                .configuration(ConfigurationRequest.getDefaultInstance())
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(10, TimeUnit.SECONDS)
                .join()
                .getVersion();
    }

    private void start(String agentIdentity, String agentTrust) {
        mHarness.agent("engine-1", agentTls(agentIdentity, agentTrust));
        new TestKeys(mEntryKeys).use("process", "first");
        mHarness.mTls = Optional.of(settings(mEntryKeys));
        mHarness.start();
        if (agentIdentity.equals("process")) {
            await(() -> !agent().mExchanges.isEmpty());
        }
    }

    private TlsReloader agentTls(String identity, String authority) {
        new TestKeys(mAgentKeys).use(identity, authority);
        return new TlsReloader(
                mHarness.mVertx, new PausedClock(), Optional.of(settings(mAgentKeys)));
    }

    private FakeAgent agent() {
        return mHarness.mAgents.get("engine-1");
    }

    private WebClient caller() {
        WebClientOptions options = new WebClientOptions().setSsl(true);
        options.setUseAlpn(true).setProtocolVersion(HttpVersion.HTTP_2);
        options.setTrustOptions(
                new PemTrustOptions().addCertPath(new TestKeys(mEntryKeys).trust().toString()));
        return WebClient.create(mHarness.mVertx, options);
    }

    private HttpResponse<Buffer> complete(WebClient client) {
        return client.post(mHarness.mEntry.callerPort(), "127.0.0.1", "/v1/completions")
                .putHeader("Authorization", "Bearer " + EntryHarness.KEY)
                .putHeader("Tanagergap-Deadline-Ms", "2000")
                .sendJsonObject(
                        new JsonObject().put("model", "lid-7b").put("prompt", "which lid fits"))
                .await();
    }

    private static TlsSettings settings(Path directory) {
        TestKeys keys = new TestKeys(directory);
        return new TlsSettings(keys.certificate(), keys.key(), Optional.of(keys.trust()));
    }
}
