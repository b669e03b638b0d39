package org.tanagergap.gateway.peer;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.decisions.replication.PeerRead;

/** Encodes the reads of the store in a report, which earlier versions ignore. */
final class PeerReadCodec {

    private static final String READ = "store_read";
    private static final String DOMAIN = "domain";
    private static final String SINCE = "ago_ms";
    private static final String OUTAGE = "outage";
    private static final String FAILED_CALLS = "failed_calls";

    /** Age of a read beyond which its exact value does not matter. */
    private static final Duration MAX_AGE = Duration.ofHours(1);

    /** Number of failed calls beyond which the exact one does not matter. */
    private static final int MAX_FAILED_CALLS = 1000;

    private PeerReadCodec() {}

    static void encode(PeerRead read, JsonObject report) {
        JsonObject json =
                new JsonObject()
                        .put(DOMAIN, read.domain())
                        .put(OUTAGE, read.outage())
                        .put(FAILED_CALLS, Math.min(read.failedCalls(), MAX_FAILED_CALLS));
        read.sinceRead()
                .ifPresent(
                        since -> json.put(SINCE, Math.min(since.toMillis(), MAX_AGE.toMillis())));
        report.put(READ, json);
    }

    /** Throws a {@link RuntimeException} for malformed fields. */
    static Optional<PeerRead> decode(JsonObject report) {
        JsonObject json = report.getJsonObject(READ);
        if (json == null) {
            return Optional.empty();
        }
        Optional<Duration> since =
                json.containsKey(SINCE)
                        ? Optional.of(PeerNumbers.time(json.getValue(SINCE)))
                        : Optional.empty();
        if (since.filter(Duration::isNegative).isPresent()) {
            throw new IllegalArgumentException("read of the store is in the future: " + since);
        }
        return Optional.of(
                new PeerRead(
                        json.getString(DOMAIN),
                        since,
                        json.getBoolean(OUTAGE, false),
                        PeerNumbers.count(json.getValue(FAILED_CALLS, 0))));
    }
}
