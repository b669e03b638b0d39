package org.tanagergap.runtime.http;

import io.vertx.core.http.HttpServerOptions;
import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Limits on what clients send on the connections of a server.
 *
 * @param maxHeaderBytes largest size of the first line of a request, and of its header fields
 * @param maxHeadLines largest number of lines of a head
 * @param maxLeadingBytes largest number of bytes, such as empty lines, in front of a head
 * @param headTimeout time from the first byte of a head to its end
 */
public record InboundLimits(
        IntSupplier maxHeaderBytes,
        int maxHeadLines,
        int maxLeadingBytes,
        Supplier<Duration> headTimeout) {

    /** Vert.x's own limit on the header fields of a request. */
    private static final int DEFAULT_HEADER_BYTES = 8 << 10;

    private static final int DEFAULT_HEAD_LINES = 1000;
    private static final int DEFAULT_LEADING_BYTES = 1024;
    private static final Duration DEFAULT_HEAD_TIMEOUT = Duration.ofSeconds(10);

    /** Limits of the servers whose clients are other processes of the system. */
    public static final InboundLimits INTERNAL =
            new InboundLimits(
                    () -> DEFAULT_HEADER_BYTES,
                    DEFAULT_HEAD_LINES,
                    DEFAULT_LEADING_BYTES,
                    () -> DEFAULT_HEAD_TIMEOUT);

    /** Options of a server with the limits of {@link #INTERNAL}, which speaks HTTP/1.1 only. */
    public static HttpServerOptions internalOptions() {
        return new HttpServerOptions().setHttp2ClearTextEnabled(false);
    }
}
