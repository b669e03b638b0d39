package org.tanagergap.runtime.http;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether the head and the framing of an upstream's message form a valid response. The HTTP
 * client accepts any number as a status, and takes a body without a length as complete whenever the
 * connection ends, even if the connection failed while the request was being written.
 */
public final class ResponseCheck {

    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String CHUNKED = "chunked";

    private ResponseCheck() {}

    /** Returns true if the status is one of a final response. */
    public static boolean isFinalStatus(int status) {
        return status >= MIN_STATUS && status <= MAX_STATUS;
    }

    /**
     * Returns why the head is not that of a final response that can be read; empty if it is.
     * Informational responses never get here, except 101, which no request asks for.
     */
    public static Optional<String> headFault(HttpClientResponse response) {
        return headFault(response.statusCode(), response.headers());
    }

    /**
     * Returns why a response whose body has ended is incomplete; empty if it is complete.
     *
     * @param requestSent whether the whole request had been written to the connection
     */
    public static Optional<String> endFault(HttpClientResponse response, boolean requestSent) {
        boolean untilClose =
                endsWithConnection(
                        response.request().getMethod(), response.statusCode(), response.headers());
        return untilClose && !requestSent
                ? Optional.of(
                        "the connection ended a response without a length before the whole request"
                                + " had been sent")
                : Optional.empty();
    }

    static Optional<String> headFault(int status, MultiMap headers) {
        if (!isFinalStatus(status)) {
            return Optional.of("status " + status + " is not from 200 to 599");
        }
        List<String> codings = headers.getAll(HttpHeaders.TRANSFER_ENCODING);
        boolean readable =
                codings.isEmpty()
                        || codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase(CHUNKED);
        return readable
                ? Optional.empty()
                : Optional.of("the transfer coding " + codings + " is not supported");
    }

    /** Returns true if only the end of the connection ends the body. */
    static boolean endsWithConnection(HttpMethod method, int status, MultiMap headers) {
        boolean withoutBody =
                method.equals(HttpMethod.HEAD) || status == NO_CONTENT || status == NOT_MODIFIED;
        return !withoutBody
                && !headers.contains(HttpHeaders.CONTENT_LENGTH)
                && !headers.contains(HttpHeaders.TRANSFER_ENCODING);
    }
}
