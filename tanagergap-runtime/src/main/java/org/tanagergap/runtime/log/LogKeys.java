package org.tanagergap.runtime.log;

import com.google.common.flogger.MetadataKey;

/** Metadata keys of the fields in structured log lines. */
public final class LogKeys {

    /** Identifier of the caller's request. */
    public static final MetadataKey<String> REQUEST_ID =
            MetadataKey.single("request_id", String.class);

    /** Identifier of one attempt of a request. */
    public static final MetadataKey<String> ATTEMPT_ID =
            MetadataKey.single("attempt_id", String.class);

    public static final MetadataKey<String> WORKSPACE =
            MetadataKey.single("workspace", String.class);

    public static final MetadataKey<String> UPSTREAM = MetadataKey.single("upstream", String.class);

    /** Failure code of a refused or failed request. */
    public static final MetadataKey<String> CODE = MetadataKey.single("code", String.class);

    public static final MetadataKey<String> FAILURE_DOMAIN =
            MetadataKey.single("failure_domain", String.class);

    /** Identifier of the entry that accepted the request. */
    public static final MetadataKey<String> ENTRY = MetadataKey.single("entry", String.class);

    public static final MetadataKey<String> RANK = MetadataKey.single("rank", String.class);

    public static final MetadataKey<String> SERVICE = MetadataKey.single("service", String.class);

    /** Estimated tokens of the prompt. */
    public static final MetadataKey<Long> TOKENS = MetadataKey.single("tokens", Long.class);

    /** Number of attempts of a finished request. */
    public static final MetadataKey<Integer> ATTEMPTS =
            MetadataKey.single("attempts", Integer.class);

    /** Upstreams to which a request was sent, in order, each with its result. */
    public static final MetadataKey<LogItems> TRIED = MetadataKey.single("tried", LogItems.class);

    public static final MetadataKey<Long> FIRST_TOKEN_MS =
            MetadataKey.single("first_token_ms", Long.class);

    /** Time for which an attempt waited in the agent's queue. */
    public static final MetadataKey<Long> QUEUED_MS = MetadataKey.single("queued_ms", Long.class);

    public static final MetadataKey<Long> DURATION_MS =
            MetadataKey.single("duration_ms", Long.class);

    /** Result of an attempt: {@code finished} or a failure code. */
    public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

    /** Execution status of a request: {@code not_run}, {@code ran} or {@code unknown}. */
    public static final MetadataKey<String> EXECUTION =
            MetadataKey.single("execution", String.class);

    /** Header or JSON pointer that caused a refusal. */
    public static final MetadataKey<String> FIELD = MetadataKey.single("field", String.class);

    /** Version of the configuration that was applied to a request. */
    public static final MetadataKey<Long> CONFIGURATION =
            MetadataKey.single("configuration", Long.class);

    /** Longest pause between two events of a stream. */
    public static final MetadataKey<Long> LONGEST_GAP_MS =
            MetadataKey.single("longest_gap_ms", Long.class);

    private LogKeys() {}
}
