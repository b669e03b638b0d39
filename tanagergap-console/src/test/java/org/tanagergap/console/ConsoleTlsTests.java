package org.tanagergap.console;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsSettings;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.state.configuration.KeyValueConfigurationStore;
import org.tanagergap.testing.PausedClock;
import org.tanagergap.testing.TestKeys;

/** Guards against operator keys being sent in clear text although TLS is configured. */
class ConsoleTlsTests {

    @Test
    void browsersAreServedOverTlsOnly(@TempDir Path directory) {
        TestKeys keys = new TestKeys(directory).use("process", "first");
        Vertx vertx = Vertx.vertx();
        PausedClock clock = new PausedClock();
        MetricRegistry metrics = new MetricRegistry();
        HostPort anyPort = new HostPort("127.0.0.1", 0);
        ConsoleSettings settings =
                new ConsoleSettings(
                        "console",
                        anyPort,
                        List.of(),
                        Optional.of(
                                new TlsSettings(keys.certificate(), keys.key(), Optional.empty())),
                        true,
                        new OperatorKeys(List.of()));
        Tracing tracing = new Tracing("console", TraceOutput.NONE, Optional.empty());
        ConsoleService console =
                new ConsoleService(
                        new ProgramContext(vertx, clock, metrics, tracing, anyPort),
                        settings,
                        new KeyValueConfigurationStore(
                                new HttpKeyValueStore(
                                        vertx, anyPort, Duration.ofSeconds(1), metrics),
                                clock));
        console.start().join();
        try {
            WebClientOptions options = new WebClientOptions().setSsl(true);
            options.setTrustOptions(new PemTrustOptions().addCertPath(keys.trust().toString()));
            assertThat(status(WebClient.create(vertx, options), console)).isEqualTo(200);
            assertThrows(Exception.class, () -> status(WebClient.create(vertx), console));
        } finally {
            console.stop().join();
            vertx.close().await();
        }
    }

    private static int status(WebClient client, ConsoleService console) {
        return client.get(console.port(), "127.0.0.1", "/").send().await().statusCode();
    }
}
