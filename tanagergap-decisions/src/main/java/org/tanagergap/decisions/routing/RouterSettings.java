package org.tanagergap.decisions.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an entry's router.
 *
 * @param failureDomain failure domain of the entry
 * @param candidates number of random candidates per request
 * @param allCandidatesUpTo number of usable agents up to which all of them are compared
 * @param crossDomainDelay time that a round trip to another failure domain adds
 * @param failuresBeforeProbing consecutive failed connections after which an agent is only probed
 * @param firstProbeAfter time until the first probe of an unreachable agent
 * @param maxProbeInterval maximum time between probes
 * @param exchangeInterval age at which a hint is refreshed
 * @param initialPrefillTokensPerSecond prefill rate of agents that have sent no hint
 */
public record RouterSettings(
        String failureDomain,
        int candidates,
        int allCandidatesUpTo,
        Duration crossDomainDelay,
        int failuresBeforeProbing,
        Duration firstProbeAfter,
        Duration maxProbeInterval,
        Duration exchangeInterval,
        double initialPrefillTokensPerSecond) {

    public RouterSettings {
        Objects.requireNonNull(failureDomain, "failureDomain must not be null");
        Objects.requireNonNull(crossDomainDelay, "crossDomainDelay must not be null");
        Objects.requireNonNull(firstProbeAfter, "firstProbeAfter must not be null");
        Objects.requireNonNull(maxProbeInterval, "maxProbeInterval must not be null");
        Objects.requireNonNull(exchangeInterval, "exchangeInterval must not be null");
        if (candidates < 1) {
            throw new IllegalArgumentException("candidates must be at least 1: " + candidates);
        }
        if (failuresBeforeProbing < 1) {
            throw new IllegalArgumentException(
                    "failuresBeforeProbing must be at least 1: " + failuresBeforeProbing);
        }
        if (!(initialPrefillTokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "initialPrefillTokensPerSecond must be positive: "
                            + initialPrefillTokensPerSecond);
        }
    }

    /** Returns the documented default settings, for an entry in the given failure domain. */
    public static RouterSettings defaults(String failureDomain) {
        return new RouterSettings(
                failureDomain,
                3,
                6,
                Duration.ofMillis(7),
                2,
                Duration.ofMillis(500),
                Duration.ofSeconds(10),
                Duration.ofSeconds(2),
                20_000);
    }
}
