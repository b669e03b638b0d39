package org.tanagergap.runtime.log;

import com.google.common.flogger.MetadataKey;

/** Keys of the fields that structured log lines carry. */
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

    private LogKeys() {}
}
