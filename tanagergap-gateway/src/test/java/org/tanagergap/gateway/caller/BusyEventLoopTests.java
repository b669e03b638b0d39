package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.gateway.configuration.RouteKind;

/**
 * Guards requests that arrive while the event loop handles others: a timer that falls due in this
 * time runs before they are read.
 */
final class BusyEventLoopTests {

    private static final CallerLimits LIMITS =
            new CallerLimits(
                    CallerLimits.DEFAULT.maxHeaderBytes(),
                    CallerLimits.DEFAULT.maxBodyBytes(),
                    Duration.ofMillis(600),
                    CallerLimits.DEFAULT.idleTimeout());

    private static final Duration GRACE = Duration.ofSeconds(8);

    /** Path of the request whose handling keeps the event loop busy. */
    private static final String SLOW = "/slow";

    private static final String HELD = "/held";
    private static final long SLOW_MILLIS = 600;

    private final List<CallerExchange> mHeld = new ArrayList<>();
    private final CountDownLatch mSlowBegun = new CountDownLatch(1);
    private CallerServerHarness mHarness;

    @BeforeEach
    void start() throws Exception {
        mHarness =
                new CallerServerHarness(
                        RouteKind.NON_IDEMPOTENT,
                        LIMITS,
                        () -> {},
                        (exchange, request) -> serve(exchange));
    }

    @AfterEach
    void close() throws Exception {
        mHarness.close();
    }

    private void serve(CallerExchange exchange) {
        if (exchange.request().path().equals(HELD)) {
            mHeld.add(exchange);
            return;
        }
        if (exchange.request().path().equals(SLOW)) {
            mSlowBegun.countDown();
            sleep(SLOW_MILLIS);
            mHeld.forEach(BusyEventLoopTests::respond);
        }
        respond(exchange);
    }

    private static void respond(CallerExchange exchange) {
        exchange.sendResponse(
                200,
                MultiMap.caseInsensitiveMultiMap().add("Content-Length", "4"),
                Buffer.buffer("done"));
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String request(String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\n{}";
    }

    /** Begins to keep the event loop busy, from within its reads. */
    private void beginSlowRequest() throws Exception {
        CallerServerHarness.send(mHarness.connect(), request(SLOW));
        assertThat(mSlowBegun.await(5, TimeUnit.SECONDS)).isTrue();
    }

    private void stop() {
        mHarness.mVertx.runOnContext(
                ignored -> {
                    mHarness.mServer.beginDrain(GRACE);
                    mHarness.mServer.stop();
                });
    }

    private static String statusLine(Socket socket) throws Exception {
        byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
        return new String(start, StandardCharsets.ISO_8859_1);
    }

    /** The idle connection was closed in the same pass, with the request unread. */
    @Test
    void aRequestThatArrivesBeforeItsIdleConnectionIsClosedIsAnswered() throws Exception {
        Socket idle = mHarness.connect();
        CallerServerHarness.send(idle, request("/x"));
        assertThat(statusLine(idle)).isEqualTo("HTTP/1.1 200");
        idle.getInputStream().skip(idle.getInputStream().available());
        sleep(200);

        stop();
        sleep(50);
        beginSlowRequest();
        CallerServerHarness.send(idle, request("/x"));

        assertThat(statusLine(idle)).isEqualTo("HTTP/1.1 200");
    }

    /** The last response ended in the same pass, and the server closed all other connections. */
    @Test
    void aRequestThatArrivesBeforeTheServerClosesIsAnswered() throws Exception {
        CallerServerHarness.send(mHarness.connect(), request(HELD));
        sleep(100);
        stop();
        sleep(500);
        Socket unused = mHarness.connect();
        sleep(50);

        beginSlowRequest();
        CallerServerHarness.send(unused, request("/x"));

        assertThat(statusLine(unused)).isEqualTo("HTTP/1.1 200");
    }

    /** The last response ended in the same pass, and the port closed with connections waiting. */
    @Test
    void aRequestOnANewConnectionThatArrivesBeforeThePortClosesIsAnswered() throws Exception {
        CallerServerHarness.send(mHarness.connect(), request(HELD));
        sleep(100);
        stop();
        sleep(500);

        beginSlowRequest();
        Socket waiting = mHarness.connect();
        CallerServerHarness.send(waiting, request("/x"));

        assertThat(statusLine(waiting)).isEqualTo("HTTP/1.1 200");
    }

    /** The time allowed for the body ended in the same pass. */
    @Test
    void aBodyThatArrivesInTimeIsAccepted() throws Exception {
        Socket slow = mHarness.connect();
        CallerServerHarness.send(
                slow, "POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\n{");
        sleep(200);

        beginSlowRequest();
        CallerServerHarness.send(slow, "}");

        assertThat(statusLine(slow)).isEqualTo("HTTP/1.1 200");
    }
}
