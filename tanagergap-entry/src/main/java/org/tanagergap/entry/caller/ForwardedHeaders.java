package org.tanagergap.entry.caller;

import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tanagergap.protocol.v1.Header;
import org.tanagergap.runtime.http.ConnectionHeaders;

/** Selects the headers that are forwarded between callers and plain services. */
final class ForwardedHeaders {

    private static final String SYSTEM_HEADER_PREFIX = "tanagergap-";

    /** Headers that this system consumes; the bearer key must not reach upstreams. */
    private static final Set<String> SYSTEM_HEADERS =
            Set.of(
                    "authorization",
                    "proxy-authorization",
                    "idempotency-key",
                    "traceparent",
                    "tracestate");

    private ForwardedHeaders() {}

    static List<Header> fromCaller(MultiMap headers) {
        return headers.entries().stream()
                .filter(h -> isForwardedToUpstream(h.getKey()))
                .map(h -> Header.newBuilder().setName(h.getKey()).setValue(h.getValue()).build())
                .toList();
    }

    static boolean isForwardedToCaller(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !isConnectionHeader(lower) && !lower.startsWith(SYSTEM_HEADER_PREFIX);
    }

    private static boolean isForwardedToUpstream(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !isConnectionHeader(lower)
                && !SYSTEM_HEADERS.contains(lower)
                && !lower.startsWith(SYSTEM_HEADER_PREFIX);
    }

    private static boolean isConnectionHeader(String lower) {
        return ConnectionHeaders.contains(lower) || lower.equals("host");
    }
}
