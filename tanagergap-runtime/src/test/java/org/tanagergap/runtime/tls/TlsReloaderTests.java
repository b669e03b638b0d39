package org.tanagergap.runtime.tls;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.base.Throwables;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagergap.testing.PausedClock;
import org.tanagergap.testing.TestKeys;

/**
 * Guards against accepting peers without valid keys, and against key rotations that need a restart
 * or break open streams.
 */
class TlsReloaderTests {

    private static final long TIMEOUT_SECONDS = 10;

    /**
     * The alert for a client that sends no certificate the server trusts. TLS 1.3 (RFC 8446,
     * 4.4.2.4) names certificate_required; releases of the JDK send one or the other.
     */
    private static final String REFUSED_BY_SERVER =
            "Received fatal alert: (bad_certificate|certificate_required)\\b";

    private static final String CLOSED = "Connection was closed";

    @TempDir Path mServerKeys;
    @TempDir Path mClientKeys;
    private final Vertx mVertx = Vertx.vertx();
    private final PausedClock mClock = new PausedClock();
    private final BlockingQueue<HttpServerRequest> mRequests = new LinkedBlockingQueue<>();
    private TlsReloader mReloader;
    private HttpServer mServer;

    @BeforeEach
    void startServer() {
        new TestKeys(mServerKeys).use("process", "first");
        mReloader = new TlsReloader(mVertx, mClock, Optional.of(settings(mServerKeys)));
        mServer = mReloader.mutualServer(new HttpServerOptions(), this::respond);
        await(mServer.listen(0, "127.0.0.1"));
        mReloader.start().join();
    }

    @AfterEach
    void close() {
        mReloader.stop().join();
        await(mVertx.close());
    }

    @Test
    void aClientWithTrustedKeysIsServed() {
        assertThat(call(client("process", "first"))).isEqualTo("CN=test process");
    }

    @Test
    void aClientWithoutACertificateIsRefused() {
        HttpClientOptions options =
                new HttpClientOptions().setSsl(true).setUseAlpn(true).setTrustAll(true);
        assertRefused(options.setVerifyHost(false), REFUSED_BY_SERVER);
    }

    @Test
    void aClientOfAnotherAuthorityIsRefused() {
        assertRefused(client("stranger", "first"), REFUSED_BY_SERVER);
    }

    @Test
    void aClientWhoseCertificateHasAnotherAddressIsRefused() {
        assertRefused(client("elsewhere", "first"), CLOSED);
    }

    @Test
    void aServerOfAnotherAuthorityIsRefused() {
        assertRefused(client("process", "second"), "unable to find valid certification path");
    }

    @Test
    void aServerWhoseCertificateHasAnotherAddressIsRefused() {
        new TestKeys(mServerKeys).use("elsewhere", "first");
        assertThat(await(mReloader.check())).isTrue();
        assertRefused(
                client("process", "first"), "No subject alternative names matching IP address");
    }

    @Test
    void clearTextIsRefused() {
        assertRefused(new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_1_1), CLOSED);
    }

    @Test
    void newKeysApplyToNewConnectionsWithoutBreakingStreams() throws Exception {
        HttpClient client = mVertx.createHttpClient(client("process", "first"));
        HttpClientRequest request =
                await(client.request(HttpMethod.GET, mServer.actualPort(), "127.0.0.1", "/stream"));
        // Composed, because a body requested later on another thread can miss its first chunk.
        Future<String> body =
                request.send().compose(HttpClientResponse::body).map(Object::toString);
        HttpServerRequest stream = mRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        new TestKeys(mServerKeys).use("renewed", "first");
        mClock.advance(TlsReloader.CHECK_INTERVAL);
        // The files are read on another thread.
        for (int i = 0; i < 500 && !call(client("process", "first")).endsWith("renewed"); i++) {
            await(mVertx.timer(10, TimeUnit.MILLISECONDS).mapEmpty());
        }
        assertThat(call(client("process", "first"))).isEqualTo("CN=test renewed");
        stream.response().end("last");
        assertThat(await(body)).isEqualTo("firstlast");
    }

    @Test
    void anInvalidFileKeepsThePreviousKeysUntilItIsCorrected() throws IOException {
        TestKeys keys = new TestKeys(mServerKeys);
        String key = Files.readString(keys.key());
        Files.writeString(keys.key(), key.substring(0, 60));
        assertThat(await(mReloader.check())).isFalse();
        assertThat(call(client("process", "first"))).isEqualTo("CN=test process");
        keys.use("renewed", "first");
        assertThat(await(mReloader.check())).isTrue();
        assertThat(await(mReloader.check())).isFalse();
        assertThat(call(client("process", "first"))).isEqualTo("CN=test renewed");
    }

    @Test
    void anAuthorityRemovedFromTheTrustFileIsRefused() {
        assertThat(call(client("process", "first"))).isEqualTo("CN=test process");
        new TestKeys(mServerKeys).use("process", "second");
        assertThat(await(mReloader.check())).isTrue();
        assertRefused(client("process", "first"), REFUSED_BY_SERVER);
    }

    private void respond(HttpServerRequest request) {
        mRequests.add(request);
        if (request.path().equals("/stream")) {
            request.response().setChunked(true).write("first");
        } else {
            request.response().end();
        }
    }

    private HttpClientOptions client(String identity, String authority) {
        new TestKeys(mClientKeys).use(identity, authority);
        return new TlsReloader(mVertx, mClock, Optional.of(settings(mClientKeys)))
                .mutualClient(new HttpClientOptions());
    }

    /** Returns the subject of the server's certificate, read on a new connection. */
    private String call(HttpClientOptions options) {
        HttpClient client = mVertx.createHttpClient(options);
        return await(
                client.request(HttpMethod.GET, mServer.actualPort(), "127.0.0.1", "/")
                        .compose(
                                request ->
                                        request.send()
                                                .compose(HttpClientResponse::body)
                                                .map(ignored -> subject(request)))
                        .eventually(client::close));
    }

    private static String subject(HttpClientRequest request) {
        try {
            return ((X509Certificate) request.connection().sslSession().getPeerCertificates()[0])
                    .getSubjectX500Principal()
                    .getName();
        } catch (SSLPeerUnverifiedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Checks the reason, so that a call that fails for another reason does not pass. */
    private void assertRefused(HttpClientOptions options, String reason) {
        mRequests.clear();
        Exception failure = assertThrows(IllegalStateException.class, () -> call(options));
        assertThat(Throwables.getStackTraceAsString(failure)).containsMatch(reason);
        assertThat(mRequests).isEmpty();
    }

    private static TlsSettings settings(Path directory) {
        TestKeys keys = new TestKeys(directory);
        return new TlsSettings(keys.certificate(), keys.key(), Optional.of(keys.trust()));
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException | java.util.concurrent.TimeoutException e) {
            throw new AssertionError("call did not complete in time", e);
        }
    }
}
