package org.tanagergap.runtime.http;

import io.vertx.core.MultiMap;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Headers that concern one connection (RFC 9110, section 7.6.1) or its framing. */
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

    /** Whether the header must not be forwarded; the name is in lower case. */
    public static boolean contains(String lowerCaseName) {
        return NAMES.contains(lowerCaseName);
    }

    /** Copy without the headers of the connection, those named by {@code Connection} included. */
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
