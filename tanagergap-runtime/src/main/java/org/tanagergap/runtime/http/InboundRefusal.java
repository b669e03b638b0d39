package org.tanagergap.runtime.http;

/** Why a connection of a client is refused or closed. */
public enum InboundRefusal {
    HEAD_TOO_LONG("head_too_long", "431 Request Header Fields Too Large", ""),
    TOO_MANY_LINES("too_many_lines", "431 Request Header Fields Too Large", ""),
    HEAD_TOO_LATE("head_too_late", "408 Request Timeout", ""),
    MALFORMED_HEAD("malformed_head", "400 Bad Request", ""),
    TOO_MANY_LEADING_BYTES("too_many_leading_bytes", "", ""),
    LEADING_BYTES_TOO_LATE("leading_bytes_too_late", "", ""),
    MESSAGE_TOO_LATE("message_too_late", "", ""),
    NO_MEMORY("no_memory", "503 Service Unavailable", "Retry-After: 1\r\n"),
    TOO_MANY_CONNECTIONS("too_many_connections", "", "");

    private final String mLabel;
    private final String mStatus;
    private final String mHeaders;

    InboundRefusal(String label, String status, String headers) {
        mLabel = label;
        mStatus = status;
        mHeaders = headers;
    }

    /** Value of the metrics label. */
    public String label() {
        return mLabel;
    }

    /** The response as it is sent; empty if the connection is closed without one. */
    String response() {
        return mStatus.isEmpty()
                ? ""
                : "HTTP/1.1 "
                        + mStatus
                        + "\r\n"
                        + mHeaders
                        + "Connection: close\r\nContent-Length: 0\r\n\r\n";
    }
}
