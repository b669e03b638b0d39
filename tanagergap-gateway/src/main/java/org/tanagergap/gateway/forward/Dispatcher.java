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
    private static final double ACCEPTED_WAIT = 0.6;

    static final Duration LEAST_RETRY_AFTER = Duration.ofMillis(200);

    private final ForwardingContext mParts;
    private final CandidateSource mCandidates;
    private final PlacementPolicy mPolicy;
    private final WaitingQueue<RequestLifecycle> mQueue = new WaitingQueue<>();
    private final DispatchForecast mForecast = new DispatchForecast();
    private final Map<RequestLifecycle, Set<String>> mExcluded = new HashMap<>();
    private final Counter mWaited;
    private long mSequence;
    private Optional<Timer> mTimer = Optional.empty();

    Dispatcher(ForwardingContext parts, CandidateSource candidates, PlacementPolicy policy) {
        mParts = parts;
        mCandidates = candidates;
        mPolicy = policy;
        mWaited = parts.metrics().counter("gateway_requests_waited");
    }

    /** Places the request, now or later, or refuses it. */
    void submit(RequestLifecycle flow, Set<String> excluded) {
        if (mQueue.size() > 0) {
            enqueue(flow, excluded);
            placeWaiting();
            return;
        }
        choose(flow, excluded).ifPresentOrElse(flow::placed, () -> enqueue(flow, excluded));
    }

    /** Whether an upstream other than the excluded ones could take the request now. */
    boolean canPlaceElsewhere(RequestLifecycle flow, Set<String> excluded) {
        List<UpstreamCandidate> candidates =
                mCandidates.candidates(flow.request().service(), excluded);
        return mPolicy.choose(flow.times().placementRequest(), candidates).isPresent();
    }

    /** Forgets a request that waits. */
    void withdraw(RequestLifecycle flow) {
        if (mQueue.remove(flow)) {
            mExcluded.remove(flow);
            noteEmpty();
        }
    }

    /** Looks again for upstreams, because something has changed. */
    void capacityChanged() {
        if (mQueue.size() > 0) {
            placeWaiting();
        }
    }

    private Optional<Placement> choose(RequestLifecycle flow, Set<String> excluded) {
        GatewayRequest request = flow.request();
        List<UpstreamCandidate> candidates = mCandidates.candidates(request.service(), excluded);
        Optional<Placement> placement = mPolicy.choose(flow.times().placementRequest(), candidates);
        if (placement.isEmpty() && !excluded.isEmpty()) {
            // Any other upstream is preferred, but the one that failed is better than none.
            return mPolicy.choose(
                    flow.times().placementRequest(),
                    mCandidates.candidates(request.service(), Set.of()));
        }
        return placement;
    }

    private void enqueue(RequestLifecycle flow, Set<String> excluded) {
        long now = mParts.clock().nanoTime();
        GatewayRequest request = flow.request();
        WaitingRequest<RequestLifecycle> waiting =
                new WaitingRequest<>(
                        flow,
                        request.rank(),
                        mSequence++,
                        flow.times().onTimeUntilNanos(),
                        flow.times().usefulUntilNanos());
        if (mQueue.size() == 0) {
            mForecast.queueFilled(now);
        }
        Duration wait = mForecast.wait(mQueue.ahead(waiting, now), now);
        Duration left = Duration.ofNanos(waiting.usefulUntilNanos() - now);
        if (!flow.begun() && wait.toNanos() > ACCEPTED_WAIT * left.toNanos()) {
            noteEmpty();
            String reason = "the predicted wait of " + wait.toMillis() + " ms is too long";
            refuse(flow, reason, wait);
            return;
        }
        mWaited.inc();
        mQueue.add(waiting);
        mExcluded.put(flow, new HashSet<>(excluded));
        startTimer();
    }

    private void placeWaiting() {
        long now = mParts.clock().nanoTime();
        for (WaitingRequest<RequestLifecycle> expired : mQueue.expired(now)) {
            withdraw(expired.item());
            refuse(expired.item(), "no upstream was free in the time left", LEAST_RETRY_AFTER);
        }
        int blocked = 0;
        for (WaitingRequest<RequestLifecycle> waiting : mQueue.inOrder(now)) {
            RequestLifecycle flow = waiting.item();
            Set<String> excluded = mExcluded.get(flow);
            Optional<Placement> placement =
                    excluded == null ? Optional.empty() : choose(flow, excluded);
            if (placement.isPresent()) {
                withdraw(flow);
                mForecast.dispatched(now);
                flow.placed(placement.get());
            } else if (++blocked >= MAX_BLOCKED_PER_ROUND) {
                break;
            }
        }
    }

    private static void refuse(RequestLifecycle flow, String reason, Duration wait) {
        Duration after = wait.compareTo(LEAST_RETRY_AFTER) < 0 ? LEAST_RETRY_AFTER : wait;
        flow.refused(RequestFailure.notRun(FailureCode.OVERLOADED, reason).withRetryAfter(after));
    }

    private void noteEmpty() {
        if (mQueue.size() == 0) {
            mForecast.queueEmptied();
        }
    }

    private void startTimer() {
        if (mTimer.isEmpty()) {
            mTimer = Optional.of(mParts.clock().schedule(RECHECK_INTERVAL, this::recheck));
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
