package org.tanagergap.entry.execution;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.decisions.routing.LoadHint;

/** Computes the idle timeout of an attempt. */
final class StallTimeout {

    /** No event for 2 s plus the predicted wait (design page, section 8). */
    static final Duration BASE = Duration.ofSeconds(2);

    /** As BASE, for an attempt that ends then, since it holds memory of several engines. */
    static final Duration BASE_WITH_RESERVATION = Duration.ofMillis(2_500);

    private static final long MAX_WAIT_MILLIS = 600_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private StallTimeout() {}

    /** Idle timeout before the first token, or before the response of a plain service. */
    static Duration beforeResponse(Duration base, Optional<LoadHint> hint, RequestPayload payload) {
        if (hint.isEmpty() || hint.get().prefillTokensPerSecond() <= 0) {
            return base;
        }
        double tokens = hint.get().prefillTokensQueued() + (double) payload.cost().promptTokens();
        double millis = tokens / hint.get().prefillTokensPerSecond() * MILLIS_PER_SECOND;
        return base.plusMillis((long) Math.min(millis, MAX_WAIT_MILLIS));
    }
}
