package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.stall.AttemptRace;
import org.tanagergap.decisions.stall.StallDecision;
import org.tanagergap.runtime.metrics.MetricName;

/**
 * Open attempts of one request: starts another one beside those that are silent, and ends the
 * others when one makes progress. Confined to the event loop.
 */
final class OpenAttempts {

    private final ForwardingContext mContext;
    private final RequestLifecycle mLifecycle;
    private final Dispatcher mDispatcher;
    private final RequestRetries mRetries;
    private final AttemptRace<UpstreamAttempt> mRace = new AttemptRace<>();
    private int mStarted;

    OpenAttempts(
            ForwardingContext context,
            RequestLifecycle lifecycle,
            Dispatcher dispatcher,
            RequestRetries retries) {
        mContext = context;
        mLifecycle = lifecycle;
        mDispatcher = dispatcher;
        mRetries = retries;
    }

    void start(Placement placement) {
        mStarted++;
        UpstreamAttempt attempt =
                new UpstreamAttempt(
                        mContext,
                        mLifecycle,
                        mLifecycle.exchange().id().attempt(mStarted),
                        placement,
                        mLifecycle);
        mRace.started(attempt);
        attempt.start();
    }

    boolean isEmpty() {
        return mRace.open().isEmpty();
    }

    int size() {
        return mRace.open().size();
    }

    /** Ends all attempts but the one that has made progress. */
    void progressed(UpstreamAttempt attempt) {
        for (UpstreamAttempt superseded : mRace.progressed(attempt)) {
            mRetries.cancelled();
            superseded.cancel();
        }
    }

    /** Records that an attempt has ended. */
    void ended(UpstreamAttempt attempt) {
        mRace.ended(attempt);
    }

    /** Ends all attempts. */
    void cancel() {
        for (UpstreamAttempt attempt : mRace.open()) {
            mRace.ended(attempt);
            attempt.cancel();
        }
    }

    /** Starts another attempt if no open one makes progress and the request may be repeated. */
    void stalled(UpstreamAttempt attempt, Duration silence) {
        mRace.stalled(attempt);
        StallDecision decision = startAnother(false);
        mContext.metrics()
                .counter(MetricName.of("gateway_stalls", "decision", label(decision)))
                .inc();
        attempt.logStall(silence, decision.description());
    }

    /**
     * Goes on with the attempts that are left after one has failed.
     *
     * @param free whether the failed attempt reached no upstream, so that another one is no retry
     * @return false if none is left
     */
    boolean continueAfterFailure(boolean free) {
        if (isEmpty()) {
            return false;
        }
        startAnother(free);
        return true;
    }

    void pauseReading() {
        mRace.open().forEach(UpstreamAttempt::pause);
    }

    void resumeReading() {
        mRace.open().forEach(UpstreamAttempt::resume);
    }

    /** Returns true if the request can be placed without the engine and those that have failed. */
    boolean canPlaceWithout(String engine) {
        Set<String> excluded = new HashSet<>(mRetries.failedUpstreams());
        // After an earlier failure the request may be repeated at the engine, but not for longer.
        return !excluded.add(engine)
                || mDispatcher.chooseElsewhere(mLifecycle, excluded).isPresent();
    }

    private StallDecision startAnother(boolean free) {
        if (!mRace.allStalled()) {
            return StallDecision.ANOTHER_RUNS;
        }
        if (!mRetries.mayStartBeside(size()) || !mLifecycle.resumable()) {
            return StallDecision.NOT_REPEATABLE;
        }
        Optional<Placement> placement =
                mDispatcher.chooseElsewhere(mLifecycle, usedAndFailedUpstreams());
        if (placement.isEmpty()) {
            return StallDecision.NO_UPSTREAM;
        }
        if (!free && !mRetries.trySpend()) {
            return StallDecision.NO_BUDGET;
        }
        start(placement.get());
        return StallDecision.STARTED_ANOTHER;
    }

    private Set<String> usedAndFailedUpstreams() {
        Set<String> upstreams = new HashSet<>(mRetries.failedUpstreams());
        mRace.open().forEach(attempt -> upstreams.add(attempt.upstream()));
        return upstreams;
    }

    private static String label(StallDecision decision) {
        return decision.name().toLowerCase(Locale.ROOT);
    }
}
