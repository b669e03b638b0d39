package org.tanagergap.gateway.forward;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.fleet.DispatchForecast;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.fleet.PlacementPolicy;
import org.tanagergap.decisions.fleet.PlacementRequest;
import org.tanagergap.decisions.fleet.UpstreamCandidate;
import org.tanagergap.decisions.fleet.WaitingQueue;
import org.tanagergap.decisions.fleet.WaitingRequest;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.configuration.ServiceTarget;

/**
 * Chooses the upstream for each request to a service and queues requests while all upstreams are
 * full. Confined to the event loop.
 */
final class Dispatcher {

    /** Longest time between two attempts to place the queued requests. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(15);

    /** A placement round ends after this many requests that could not be placed. */
    private static final int MAX_BLOCKED_PER_ROUND = 8;

    /** Largest part of the time to the latest dispatch that the predicted wait may take. */
    private static final double MAX_WAIT_FRACTION = 0.6;

    static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    /** The operator decides when a drain ends, so no better time is known. */
    private static final RequestFailure ALL_DRAINED =
            RequestFailure.notRun(
                            FailureCode.UNAVAILABLE,
                            "the failure domains of all upstreams are drained")
                    .withRetryAfter(Duration.ofSeconds(1));

    private final ForwardingContext mContext;
    private final CandidateSource mCandidates;
    private final PlacementPolicy mPolicy;
    private final WaitingQueue<RequestLifecycle> mQueue = new WaitingQueue<>();
    private final DispatchForecast mForecast = new DispatchForecast();
    private final Map<RequestLifecycle, Set<String>> mExcluded = new HashMap<>();
    private final Counter mWaitedCounter;
    private long mSequence;
    private Optional<Timer> mTimer = Optional.empty();

    Dispatcher(ForwardingContext context, CandidateSource candidates, PlacementPolicy policy) {
        mContext = context;
        mCandidates = candidates;
        mPolicy = policy;
        mWaitedCounter = context.metrics().counter("gateway_requests_waited");
    }

    /** Places or queues the request, or refuses it if the predicted wait is too long. */
    void submit(RequestLifecycle lifecycle, Set<String> excluded) {
        if (mQueue.size() > 0) {
            enqueue(lifecycle, excluded);
            placeWaiting();
            return;
        }
        choose(lifecycle, excluded)
                .ifPresentOrElse(lifecycle::placed, () -> enqueue(lifecycle, excluded));
    }

    /** Chooses an upstream that is not excluded and can take the request now. */
    Optional<Placement> chooseElsewhere(RequestLifecycle lifecycle, Set<String> excluded) {
        ServiceTarget service = lifecycle.request().service();
        double unreported = mContext.placements().unreported(mContext.clock().nanoTime());
        PlacementRequest request = lifecycle.times().placementRequest(unreported);
        Optional<Placement> placement =
                mPolicy.choose(request, mCandidates.candidates(service, excluded));
        if (placement.isPresent() || !mContext.rateLimits().anyColdLimited()) {
            return placement;
        }
        // Cold upstreams are slow, and their permits are not requested while others have capacity.
        List<UpstreamCandidate> cold = mCandidates.coldCandidates(service, excluded);
        return cold.isEmpty() ? placement : mPolicy.choose(request, cold);
    }

    /** Removes a request from the queue. */
    void withdraw(RequestLifecycle lifecycle) {
        if (mQueue.remove(lifecycle)) {
            mExcluded.remove(lifecycle);
            endForecastIfEmpty();
        }
    }

    /** Tries to place the queued requests after a change of the fleet or its load. */
    void capacityChanged() {
        if (mQueue.size() > 0) {
            placeWaiting();
        }
    }

    private Optional<Placement> choose(RequestLifecycle lifecycle, Set<String> excluded) {
        Optional<Placement> placement = chooseElsewhere(lifecycle, excluded);
        if (placement.isEmpty() && !excluded.isEmpty()) {
            // Any other upstream is preferred, but one that has failed is better than none.
            return chooseElsewhere(lifecycle, Set.of());
        }
        return placement;
    }

    private void enqueue(RequestLifecycle lifecycle, Set<String> excluded) {
        long now = mContext.clock().nanoTime();
        GatewayRequest request = lifecycle.request();
        if (!lifecycle.responseStarted() && mContext.view().isDrained(request.service().name())) {
            lifecycle.refused(ALL_DRAINED);
            return;
        }
        WaitingRequest<RequestLifecycle> waiting =
                new WaitingRequest<>(
                        lifecycle,
                        request.rank(),
                        mSequence++,
                        lifecycle.times().latestDispatchForTargetNanos(),
                        lifecycle.times().latestDispatchNanos());
        if (mQueue.size() == 0) {
            mForecast.queueBecameNonEmpty(now);
        }
        int ahead = mQueue.requestsAhead(waiting, now);
        Duration remaining = Duration.ofNanos(waiting.latestDispatchNanos() - now);
        Optional<Duration> permitWait = mCandidates.permitWait(request.service(), ahead + 1);
        Duration wait = permitWait.orElseGet(() -> mForecast.predictedWait(ahead, now));
        // Permits come at a known rate; other waits are estimates.
        double maxWaitFraction = permitWait.isPresent() ? 1 : MAX_WAIT_FRACTION;
        if (!lifecycle.responseStarted()
                && wait.toNanos() > maxWaitFraction * remaining.toNanos()) {
            endForecastIfEmpty();
            refuse(lifecycle, tooLong(wait), wait);
            return;
        }
        mWaitedCounter.inc();
        mQueue.add(waiting);
        mExcluded.put(lifecycle, new HashSet<>(excluded));
        startTimer();
    }

    private void placeWaiting() {
        long now = mContext.clock().nanoTime();
        for (WaitingRequest<RequestLifecycle> expired : mQueue.expired(now)) {
            withdraw(expired.item());
            Duration wait =
                    mCandidates
                            .permitWait(expired.item().request().service(), 1)
                            .orElse(MIN_RETRY_AFTER);
            refuse(expired.item(), "no upstream was free in the time left", wait);
        }
        int blocked = 0;
        for (WaitingRequest<RequestLifecycle> waiting : mQueue.inOrder(now)) {
            RequestLifecycle lifecycle = waiting.item();
            Set<String> excluded = mExcluded.get(lifecycle);
            Optional<Placement> placement =
                    excluded == null ? Optional.empty() : choose(lifecycle, excluded);
            if (placement.isPresent()) {
                withdraw(lifecycle);
                mForecast.dispatched(now);
                lifecycle.placed(placement.get());
            } else if (!refuseIfPermitsComeTooLate(waiting, blocked, now)
                    && ++blocked >= MAX_BLOCKED_PER_ROUND) {
                break;
            }
        }
    }

    /** The issuer of permits tells the share of this instance only after a request has waited. */
    private boolean refuseIfPermitsComeTooLate(
            WaitingRequest<RequestLifecycle> waiting, int ahead, long now) {
        RequestLifecycle lifecycle = waiting.item();
        Optional<Duration> wait = mCandidates.permitWait(lifecycle.request().service(), ahead);
        long remainingNanos = waiting.latestDispatchNanos() - now;
        if (lifecycle.responseStarted()
                || wait.filter(w -> w.toNanos() > remainingNanos).isEmpty()) {
            return false;
        }
        withdraw(lifecycle);
        refuse(lifecycle, tooLong(wait.get()), wait.get());
        return true;
    }

    private static String tooLong(Duration wait) {
        return "the predicted wait of " + wait.toMillis() + " ms is too long";
    }

    private static void refuse(RequestLifecycle lifecycle, String reason, Duration wait) {
        Duration after = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        lifecycle.refused(
                RequestFailure.notRun(FailureCode.OVERLOADED, reason).withRetryAfter(after));
    }

    private void endForecastIfEmpty() {
        if (mQueue.size() == 0) {
            mForecast.queueBecameEmpty();
        }
    }

    private void startTimer() {
        if (mTimer.isEmpty()) {
            mTimer = Optional.of(mContext.clock().schedule(RECHECK_INTERVAL, this::recheck));
        }
    }

    private void recheck() {
        mTimer = Optional.empty();
        try {
            placeWaiting();
        } finally {
            if (mQueue.size() > 0) {
                startTimer();
            }
        }
    }
}
