package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.gateway.configuration.RouteKind;

/** Guards the configured limit on the heads of requests, which was not in effect. */
final class HeaderLimitTests {

    private static final int MAX_HEADER_BYTES = 2000;
    private static final String STATUS_OK = "HTTP/1.1 200";
    private static final String STATUS_TOO_LARGE = "HTTP/1.1 431";

    private CallerServerHarness mHarness;

    @BeforeEach
    void start() throws Exception {
        CallerLimits defaults = CallerLimits.DEFAULT;
        mHarness =
                new CallerServerHarness(
                        RouteKind.IDEMPOTENT,
                        new CallerLimits(
                                MAX_HEADER_BYTES,
                                defaults.maxBodyBytes(),
                                defaults.headerTimeout(),
                                defaults.idleTimeout()),
                        () -> {},
                        (exchange, request) -> respond(exchange));
    }

    @AfterEach
    void close() throws Exception {
        mHarness.close();
    }

    private static void respond(CallerExchange exchange) {
        exchange.sendResponse(
                200,
                MultiMap.caseInsensitiveMultiMap().add("Content-Length", "4"),
                Buffer.buffer("done"));
    }

    private String statusLine(String firstLine, String fields) throws Exception {
        Socket socket = mHarness.connect();
        CallerServerHarness.send(socket, firstLine + "\r\n" + fields + "\r\n");
        byte[] start = socket.getInputStream().readNBytes(STATUS_OK.length());
        return new String(start, StandardCharsets.ISO_8859_1);
    }

    private static String firstLine(int bytes) {
        String rest = "GET /? HTTP/1.1\r\n";
        return "GET /?" + "x".repeat(bytes - rest.length()) + " HTTP/1.1";
    }

    /** Returns lines whose bytes without their ends have the given sum. */
    private static String fields(int bytes) {
        String host = "Host: " + CallerServerHarness.HOST;
        int lines = (bytes - host.length()) / 4;
        int rest = bytes - host.length() - 4 * lines;
        return host + "\r\n" + "a: x\r\n".repeat(lines - 1) + "a: x" + "y".repeat(rest) + "\r\n";
    }

    @Test
    void aHeadOfTheLargestSizeIsServed() throws Exception {
        String line = firstLine(MAX_HEADER_BYTES);

        assertThat(statusLine(line, fields(MAX_HEADER_BYTES))).isEqualTo(STATUS_OK);
    }

    @Test
    void largerFieldsAreRefused() throws Exception {
        String fields = fields(MAX_HEADER_BYTES + 1);

        assertThat(statusLine("GET / HTTP/1.1", fields)).isEqualTo(STATUS_TOO_LARGE);
    }

    @Test
    void aLongerFirstLineIsRefused() throws Exception {
        String line = firstLine(MAX_HEADER_BYTES + 1);

        assertThat(statusLine(line, fields(100))).isEqualTo(STATUS_TOO_LARGE);
    }
}
