package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagergap.protocol.v1.StatusReply;
import org.tanagergap.protocol.v1.StatusRequest;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcClient;
import org.tanagergap.runtime.tls.TlsReloader;
import org.tanagergap.runtime.tls.TlsSettings;
import org.tanagergap.standins.engine.EngineServer;
import org.tanagergap.standins.engine.EngineServerSettings;
import org.tanagergap.standins.engine.EngineSettings;
import org.tanagergap.testing.TestKeys;

/** Guards against an agent that serves callers without a certificate of its authority. */
class TlsTests {

    @TempDir Path mAgentKeys;
    @TempDir Path mEntryKeys;
    private final NetworkFixture mFixture = new NetworkFixture();

    @BeforeEach
    void startAgent() {
        EngineServer engine =
                new EngineServer(
                        mFixture.mVertx,
                        mFixture.mClock,
                        NetworkFixture.ANY_PORT,
                        EngineSettings.of("m1", 400_000),
                        new EngineServerSettings(
                                "m1", Duration.ofMillis(50), Duration.ofMillis(10), 3, false));
        mFixture.start(engine);
        mFixture.mTls = Optional.of(settings(mAgentKeys, "process"));
        mFixture.startAgent(UpstreamKind.MODEL, engine.port(), Optional.empty());
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    @Test
    void anEntryWithACertificateOfTheAuthorityIsServed() {
        assertThat(mFixture.run(AgentFixture.completion("a.1").build()).tokens()).hasSize(10);
    }

    @Test
    void anEntryWithACertificateOfAnotherAuthorityIsRefused() {
        HttpClientOptions options =
                new TlsReloader(
                                mFixture.mVertx,
                                mFixture.mClock,
                                Optional.of(settings(mEntryKeys, "stranger")))
                        .mutualClient(new HttpClientOptions());
        assertThrows(AssertionError.class, () -> status(options));
    }

    @Test
    void anEntryWithoutACertificateIsRefused() {
        HttpClientOptions options = new HttpClientOptions().setSsl(true).setUseAlpn(true);
        options.setTrustAll(true).setVerifyHost(false);
        assertThrows(AssertionError.class, () -> status(options));
    }

    @Test
    void clearTextIsRefused() {
        assertThrows(AssertionError.class, () -> status(new HttpClientOptions()));
    }

    private StatusReply status(HttpClientOptions options) {
        GrpcClient client = GrpcClient.client(mFixture.mVertx, new GrpcClientOptions(), options);
        SocketAddress agent = SocketAddress.inetSocketAddress(mFixture.mAgent.port(), "127.0.0.1");
        return NetworkFixture.await(
                UpstreamAgentGrpcClient.create(client, agent)
                        .status(StatusRequest.getDefaultInstance()));
    }

    private static TlsSettings settings(Path directory, String identity) {
        TestKeys keys = new TestKeys(directory).use(identity, "first");
        return new TlsSettings(keys.certificate(), keys.key(), Optional.of(keys.trust()));
    }
}
