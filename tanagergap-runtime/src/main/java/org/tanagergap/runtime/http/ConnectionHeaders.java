package org.tanagergap.runtime.http;

import io.vertx.core.MultiMap;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Headers that apply to one connection (RFC 9110, section 7.6.1) or to its framing. */
public final class ConnectionHeaders {

    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "proxy-connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "http2-settings",
                    "content-length",
                    "expect");

    private ConnectionHeaders() {}

    /** Returns true if the header with this lower-case name must not be forwarded. */
    public static boolean contains(String lowerCaseName) {
        return NAMES.contains(lowerCaseName);
    }

    /**
     * Copies the headers without connection headers and without those named in {@code Connection}.
     */
    public static MultiMap without(MultiMap headers) {
        Set<String> named = named(headers);
        MultiMap copy = MultiMap.caseInsensitiveMultiMap();
        headers.forEach(
                header -> {
                    String lower = header.getKey().toLowerCase(Locale.ROOT);
                    if (!NAMES.contains(lower) && !named.contains(lower)) {
                        copy.add(header.getKey(), header.getValue());
                    }
                });
        return copy;
    }

    private static Set<String> named(MultiMap headers) {
        Set<String> names = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            Arrays.stream(value.split(","))
                    .map(name -> name.trim().toLowerCase(Locale.ROOT))
                    .forEach(names::add);
        }
        return names;
    }
}
