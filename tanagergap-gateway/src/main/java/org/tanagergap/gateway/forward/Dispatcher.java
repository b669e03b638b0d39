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
import org.tanagergap.decisions.fleet.UpstreamCandidate;
import org.tanagergap.decisions.fleet.WaitingQueue;
import org.tanagergap.decisions.fleet.WaitingRequest;
import org.tanagergap.gateway.caller.GatewayRequest;

/**
 * Decides which upstream of a service a request goes to, and lets it wait when all are full.
 * Confined to the event loop.
 */
final class Dispatcher {

    /** Waiting requests look for an upstream at least this often. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(15);

    /** Most waiting requests that are tried in one round after the first that has to wait. */
    private static final int MAX_BLOCKED_PER_ROUND = 8;

    /** Part of the time left that the predicted wait may take. */
    private static final double MAX_WAIT_FRACTION = 0.6;

    static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

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

    /** Places the request, now or later, or refuses it. */
    void submit(RequestLifecycle lifecycle, Set<String> excluded) {
        if (mQueue.size() > 0) {
            enqueue(lifecycle, excluded);
            placeWaiting();
            return;
        }
        choose(lifecycle, excluded)
                .ifPresentOrElse(lifecycle::placed, () -> enqueue(lifecycle, excluded));
    }

    /** Whether an upstream other than the excluded ones could take the request now. */
    boolean canPlaceElsewhere(RequestLifecycle lifecycle, Set<String> excluded) {
        List<UpstreamCandidate> candidates =
                mCandidates.candidates(lifecycle.request().service(), excluded);
        return mPolicy.choose(lifecycle.times().placementRequest(), candidates).isPresent();
    }

    /** Forgets a request that waits. */
    void withdraw(RequestLifecycle lifecycle) {
        if (mQueue.remove(lifecycle)) {
            mExcluded.remove(lifecycle);
            endForecastIfEmpty();
        }
    }

    /** Looks again for upstreams, because something has changed. */
    void capacityChanged() {
        if (mQueue.size() > 0) {
            placeWaiting();
        }
    }

    private Optional<Placement> choose(RequestLifecycle lifecycle, Set<String> excluded) {
        GatewayRequest request = lifecycle.request();
        List<UpstreamCandidate> candidates = mCandidates.candidates(request.service(), excluded);
        Optional<Placement> placement =
                mPolicy.choose(lifecycle.times().placementRequest(), candidates);
        if (placement.isEmpty() && !excluded.isEmpty()) {
            // Any other upstream is preferred, but the one that failed is better than none.
            return mPolicy.choose(
                    lifecycle.times().placementRequest(),
                    mCandidates.candidates(request.service(), Set.of()));
        }
        return placement;
    }

    private void enqueue(RequestLifecycle lifecycle, Set<String> excluded) {
        long now = mContext.clock().nanoTime();
        GatewayRequest request = lifecycle.request();
        WaitingRequest<RequestLifecycle> waiting =
                new WaitingRequest<>(
                        lifecycle,
                        request.rank(),
                        mSequence++,
                        lifecycle.times().onTimeUntilNanos(),
                        lifecycle.times().usefulUntilNanos());
        if (mQueue.size() == 0) {
            mForecast.queueFilled(now);
        }
        Duration wait = mForecast.wait(mQueue.ahead(waiting, now), now);
        Duration left = Duration.ofNanos(waiting.usefulUntilNanos() - now);
        if (!lifecycle.responseStarted() && wait.toNanos() > MAX_WAIT_FRACTION * left.toNanos()) {
            endForecastIfEmpty();
            String reason = "the predicted wait of " + wait.toMillis() + " ms is too long";
            refuse(lifecycle, reason, wait);
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
            refuse(expired.item(), "no upstream was free in the time left", MIN_RETRY_AFTER);
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
            } else if (++blocked >= MAX_BLOCKED_PER_ROUND) {
                break;
            }
        }
    }

    private static void refuse(RequestLifecycle lifecycle, String reason, Duration wait) {
        Duration after = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        lifecycle.refused(
                RequestFailure.notRun(FailureCode.OVERLOADED, reason).withRetryAfter(after));
    }

    private void endForecastIfEmpty() {
        if (mQueue.size() == 0) {
            mForecast.queueEmptied();
        }
    }

    private void startTimer() {
        if (mTimer.isEmpty()) {
            mTimer = Optional.of(mContext.clock().schedule(RECHECK_INTERVAL, this::recheck));
        }
    }

    private void recheck() {
        mTimer = Optional.empty();
        placeWaiting();
        if (mQueue.size() > 0) {
            startTimer();
        }
    }
}
