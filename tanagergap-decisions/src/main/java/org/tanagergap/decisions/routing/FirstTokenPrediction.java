package org.tanagergap.decisions.routing;

import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.scheduling.RankLoad;

/** Predicts the time to the first token of a request at an agent, in seconds. */
final class FirstTokenPrediction {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Maximum number of tokens that a cached prefix is assumed to save. The hash covers only the
     * first 4,096 characters, so the length of the cached part is unknown; a larger value would
     * send long prompts to a busy agent that has cached little of them.
     */
    private static final long MAX_PREFIX_HIT_TOKENS = 8_192;

    /** Share of a prompt that a cached prefix can cover; the rest differs between requests. */
    private static final double MAX_PREFIX_HIT_SHARE = 0.9;

    /** Assumed time of a plain call; only its relation to the cross-domain delay matters. */
    private static final double PLAIN_CALL_SECONDS = 0.02;

    /**
     * Uncertainty per second of a hint's age, so that agents without recent hints lose preference.
     */
    private static final double AGE_PENALTY = 0.05;

    private final RouterSettings mSettings;

    FirstTokenPrediction(RouterSettings settings) {
        mSettings = settings;
    }

    double seconds(RoutedAgent agent, RoutingRequest request, boolean hasPrefix, long nowNanos) {
        double load =
                request.cost().memoryTokens() == 0
                        ? plainCallSeconds(agent)
                        : completionSeconds(agent, request, hasPrefix);
        double delay =
                agent.endpoint().failureDomain().equals(mSettings.failureDomain())
                        ? 0
                        : mSettings.crossDomainDelay().toNanos() / NANOS_PER_SECOND;
        double reportAge =
                agent.hint().map(h -> h.loadReportAge().toNanos() / NANOS_PER_SECOND).orElse(0.0);
        double age = agent.hintAgeNanos(nowNanos) / NANOS_PER_SECOND + reportAge;
        double interval = mSettings.exchangeInterval().toNanos() / NANOS_PER_SECOND;
        return load * (1 + AGE_PENALTY * age / interval) + AGE_PENALTY * age + delay;
    }

    private double completionSeconds(RoutedAgent agent, RoutingRequest request, boolean hasPrefix) {
        double rate = rate(agent);
        LengthBand band = LengthBand.of(request.cost().promptTokens());
        long queued = agent.hint().map(h -> h.prefillBacklog().upTo(band)).orElse(0L);
        double prompt = request.cost().promptTokens() - (hasPrefix ? prefixHit(request) : 0);
        double missing = missingMemory(agent, request);
        // In a steady state, memory is released about as fast as prompts are prefilled.
        return (queued + agent.unreportedPrompts().upTo(band) + prompt + missing) / rate;
    }

    private double rate(RoutedAgent agent) {
        double measured = agent.hint().map(LoadHint::prefillTokensPerSecond).orElse(0.0);
        return measured > 0 ? measured : mSettings.initialPrefillTokensPerSecond();
    }

    private static double prefixHit(RoutingRequest request) {
        return Math.min(
                MAX_PREFIX_HIT_TOKENS, MAX_PREFIX_HIT_SHARE * request.cost().promptTokens());
    }

    private static double missingMemory(RoutedAgent agent, RoutingRequest request) {
        return agent.hint()
                .filter(h -> h.memoryTokensTotal() > 0)
                .map(
                        h ->
                                RoutedAgent.memoryTokens(request.cost())
                                        + agent.unreportedMemoryTokens()
                                        - h.memoryTokensFree())
                .map(missing -> (double) Math.max(0, missing))
                .orElse(0.0);
    }

    /** Counts calls queued at the agent and calls that this entry has in flight there. */
    private static double plainCallSeconds(RoutedAgent agent) {
        long queued =
                agent.hint()
                        .map(h -> h.ranks().values().stream().mapToLong(RankLoad::queued).sum())
                        .orElse(0L);
        long used =
                agent.hint()
                        .map(h -> h.memoryTokensTotal() - h.memoryTokensFree())
                        .orElse((long) agent.inFlight() - agent.unreportedAttempts());
        return PLAIN_CALL_SECONDS * (queued + used + agent.unreportedAttempts());
    }
}
