package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import org.tanagergap.decisions.fleet.DispatchForecast;
import org.tanagergap.decisions.fleet.UpstreamCandidate;
import org.tanagergap.gateway.configuration.ServiceTarget;
import org.tanagergap.gateway.membership.Upstream;

/** Lists the upstreams that may receive a request now. */
final class CandidateSource {

    private final ForwardingContext mContext;

    CandidateSource(ForwardingContext context) {
        mContext = context;
    }

    /** Lists the warm upstreams that may receive a request now. */
    List<UpstreamCandidate> candidates(ServiceTarget service, Set<String> excluded) {
        return candidates(service, excluded, upstream -> !isColdLimited(upstream));
    }

    /** Lists the cold upstreams that may receive a request now; requests permits for the others. */
    List<UpstreamCandidate> coldCandidates(ServiceTarget service, Set<String> excluded) {
        return candidates(service, excluded, this::isColdLimited);
    }

    private boolean isColdLimited(Upstream upstream) {
        return mContext.rateLimits().isColdLimited(upstream);
    }

    private List<UpstreamCandidate> candidates(
            ServiceTarget service, Set<String> excluded, Predicate<Upstream> included) {
        long now = mContext.clock().nanoTime();
        List<UpstreamCandidate> candidates = new ArrayList<>();
        for (Upstream upstream : mContext.view().usable(service.name())) {
            if (included.test(upstream)
                    && mContext.health().isUsable(upstream.id(), now)
                    && !excluded.contains(upstream.id())
                    && mContext.rateLimits().maySend(upstream)) {
                candidates.add(candidate(service, upstream, now));
            }
        }
        return candidates;
    }

    private UpstreamCandidate candidate(ServiceTarget service, Upstream upstream, long now) {
        return new UpstreamCandidate(
                upstream.id(),
                upstream.slots(),
                service.engine(),
                mContext.load().totalLoad(upstream.id(), now),
                mContext.delays().millis(upstream.failureDomain()),
                mContext.health().slowness().of(upstream.id(), now),
                mContext.rateLimits().isLimited(upstream));
    }

    /** Returns the time until that many requests may be sent, if all upstreams limit their rate. */
    Optional<Duration> permitWait(ServiceTarget service, int requests) {
        OptionalDouble perSecond = limitedPerSecond(service);
        if (perSecond.isEmpty()) {
            return Optional.empty();
        }
        Duration wait = DispatchForecast.predictedWait(requests, perSecond.getAsDouble());
        // An upstream that becomes warm takes more at once.
        return mContext.view().usable(service.name()).stream()
                .filter(upstream -> !mContext.rateLimits().hasAdvertisedLimit(upstream))
                .flatMap(upstream -> mContext.rateLimits().coldRemaining(upstream).stream())
                .min(Comparator.naturalOrder())
                .filter(remaining -> remaining.compareTo(wait) < 0)
                .or(() -> Optional.of(wait));
    }

    /**
     * Returns the rate at which this instance can expect to send requests to the service, if all
     * its upstreams have rate limits; empty otherwise.
     */
    private OptionalDouble limitedPerSecond(ServiceTarget service) {
        double perSecond = 0;
        List<Upstream> upstreams = mContext.view().usable(service.name());
        for (Upstream upstream : upstreams) {
            OptionalDouble expected = mContext.rateLimits().expectedPerSecond(upstream);
            if (expected.isEmpty()) {
                return expected;
            }
            perSecond += expected.getAsDouble();
        }
        return upstreams.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
    }
}
