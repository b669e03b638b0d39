package org.tanagergap.entry.caller;

/** Names of the headers of the caller API. */
final class CallerHeaders {

    static final String AUTHORIZATION = "Authorization";
    static final String RANK = "Tanagergap-Rank";
    static final String DEADLINE_MS = "Tanagergap-Deadline-Ms";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String REQUEST_ID = "Tanagergap-Request-Id";
    static final String UPSTREAM = "Tanagergap-Upstream";
    static final String FAILURE_DOMAIN = "Tanagergap-Failure-Domain";
    static final String TRACEPARENT = "traceparent";

    private CallerHeaders() {}
}
