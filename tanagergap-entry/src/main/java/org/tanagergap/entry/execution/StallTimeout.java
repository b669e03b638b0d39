package org.tanagergap.entry.execution;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.decisions.routing.LoadHint;

/** Computes how long an attempt may stay silent. */
final class StallTimeout {

    /** Section 8 of the design page: no event for 2 s plus the predicted wait. */
    static final Duration BASE = Duration.ofSeconds(2);

    private static final long MAX_WAIT_MILLIS = 600_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private StallTimeout() {}

    /** Longest silence before the first token, or before the answer of a plain service. */
    static Duration beforeResponse(Optional<LoadHint> hint, RequestPayload payload) {
        if (hint.isEmpty() || hint.get().prefillTokensPerSecond() <= 0) {
            return BASE;
        }
        double tokens = hint.get().prefillTokensQueued() + (double) payload.cost().promptTokens();
        double millis = tokens / hint.get().prefillTokensPerSecond() * MILLIS_PER_SECOND;
        return BASE.plusMillis((long) Math.min(millis, MAX_WAIT_MILLIS));
    }
}
