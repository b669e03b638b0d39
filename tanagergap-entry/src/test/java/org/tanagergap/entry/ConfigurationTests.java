package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Guards against an entry that accepts requests without a configuration, that cannot start during
 * an outage of the key-value store, or that reports a wrong status.
 */
final class ConfigurationTests {

    private final EntryHarness mFirst = new EntryHarness();
    private final EntryHarness mSecond = new EntryHarness();

    @AfterEach
    void close() {
        mSecond.close();
        mFirst.close();
    }

    private static HttpResponse<String> admin(EntryHarness harness, String path) {
        int port = harness.mEntry.adminPort();
        return harness.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build());
    }

    @Test
    void entryWithoutConfigurationIsNotReadyAndRefuses() {
        mSecond.mStoreAvailable = false;
        mSecond.start();
        assertThat(admin(mSecond, "/readyz").statusCode()).isEqualTo(503);
        HttpResponse<String> response = mSecond.send(mSecond.completion(true));
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("\"execution\":\"not_run\"");
    }

    @Test
    void entryStartedDuringStoreOutageLoadsTheConfigurationFromItsPeer() {
        mFirst.agent("runner-1");
        mFirst.start();
        mSecond.mStoreAvailable = false;
        mSecond.mPeers = List.of(new HostPort("127.0.0.1", mFirst.mEntry.peerPort()));
        mSecond.start();
        EntryHarness.await(() -> mSecond.mEntry.isReady());
        assertThat(mSecond.send(mSecond.completion(false)).body()).contains("t0 t1 t2");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "7", "{}", "{\"ranks\":1e400}", "NESTED"})
    void entryStartedWithAMalformedStoredDocumentLoadsTheConfigurationFromItsPeer(String document) {
        mFirst.agent("runner-1");
        mFirst.start();
        String nested = "{\"services\":".repeat(900) + "1" + "}".repeat(900);
        mSecond.mStoredDocument = Optional.of(document.equals("NESTED") ? nested : document);
        mSecond.mPeers = List.of(new HostPort("127.0.0.1", mFirst.mEntry.peerPort()));
        mSecond.start();
        EntryHarness.await(() -> mSecond.mEntry.isReady());
        assertThat(mSecond.send(mSecond.completion(false)).body()).contains("t0 t1 t2");
    }

    @Test
    void statusAndMetricsDescribeTheEntry() {
        FakeAgent agent = mFirst.agent("runner-1");
        mFirst.start();
        mFirst.send(mFirst.completion(true));
        EntryHarness.await(() -> !agent.mExchanges.isEmpty());
        assertThat(agent.mExchanges.remove().getUpstream().getName()).isEqualTo("runner-1");
        EntryHarness.await(() -> status().getJsonArray("agents").toString().contains("hint"));
        assertThat(status().getLong("configuration_version")).isEqualTo(1);
        String metrics = admin(mFirst, "/metrics").body();
        assertThat(metrics).contains("tanagergap_requests{rank=\"urgent\",code=\"ok\",} 1.0");
        assertThat(metrics).contains("tanagergap_first_token_seconds");
    }

    private JsonObject status() {
        return new JsonObject(admin(mFirst, "/status").body());
    }
}
