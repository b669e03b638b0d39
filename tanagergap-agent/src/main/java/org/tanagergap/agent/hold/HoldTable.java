package org.tanagergap.agent.hold;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.tanagergap.agent.attempt.Reservation;
import org.tanagergap.agent.engine.ModelEngine;
import org.tanagergap.agent.engine.Segment;
import org.tanagergap.agent.engine.SegmentPrefill;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;

/**
 * Holds on the engine's memory and the segments computed under them. A completion that names a hold
 * runs in the hold's memory and needs no further admission. All methods run on the agent's loop.
 */
public final class HoldTable {

    /** Longest life of a hold that nobody extends. */
    public static final Duration MAX_EXPIRY = Duration.ofSeconds(10);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final UpstreamScheduler mScheduler;
    private final ModelEngine mEngine;
    private final RuntimeClock mClock;
    private final Executor mLoop;
    private final Map<String, Hold> mHolds = new HashMap<>();

    public HoldTable(
            UpstreamScheduler scheduler, ModelEngine engine, RuntimeClock clock, Executor loop) {
        mScheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        mEngine = Objects.requireNonNull(engine, "engine must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mLoop = Objects.requireNonNull(loop, "loop must not be null");
    }

    /** Reserves memory or extends the expiry; returns whether it is held. */
    public boolean hold(String holdId, long tokens, Duration expiresIn) {
        Duration expiry = expiresIn.compareTo(MAX_EXPIRY) < 0 ? expiresIn : MAX_EXPIRY;
        Hold known = mHolds.get(holdId);
        if (known != null) {
            return mScheduler.reserveSegment(holdId, known.mTokens, expiry);
        }
        if (!mScheduler.reserveSegment(holdId, tokens, expiry)) {
            return false;
        }
        mHolds.put(holdId, new Hold(holdId, tokens));
        return true;
    }

    /** Releases a hold and its segments; one with a running completion, when that ends. */
    public void release(String holdId) {
        Hold hold = mHolds.get(holdId);
        if (hold != null && !hold.mRunning) {
            remove(hold);
        }
    }

    /** Lets a completion use a hold's memory; empty when the hold is unknown or already used. */
    public Optional<Reservation> use(String holdId, AttemptId attempt) {
        Hold hold = mHolds.get(holdId);
        if (hold == null || hold.mRunning) {
            return Optional.empty();
        }
        hold.mRunning = true;
        hold.mAttempts.add(attempt);
        return Optional.of(
                tokens -> {
                    hold.mRunning = false;
                    remove(hold);
                });
    }

    /** Extends holds in use and removes lapsed ones. */
    public void tick() {
        for (Hold hold : mHolds.values()) {
            if (hold.inUse()) {
                mScheduler.reserveSegment(hold.mId, hold.mTokens, MAX_EXPIRY);
            }
        }
        for (String lapsed : mScheduler.releaseExpiredSegments()) {
            Hold hold = mHolds.get(lapsed);
            if (hold != null) {
                remove(hold);
            }
        }
    }

    /** Attempts under holds; the scheduler does not know them. */
    public Set<AttemptId> attempts() {
        Set<AttemptId> attempts = new HashSet<>();
        mHolds.values().forEach(h -> attempts.addAll(h.mAttempts));
        return attempts;
    }

    /** Number of completions and prefills that run under holds. */
    public int running() {
        return mHolds.values().stream()
                .mapToInt(h -> (h.mRunning ? 1 : 0) + h.mPrefills.size())
                .sum();
    }

    /** Computes a segment under a hold. */
    public CompletableFuture<Segment> prefill(
            String holdId, SegmentPrefill prefill, Duration timeLeft) {
        Hold hold = mHolds.get(holdId);
        AttemptId attempt = prefill.attemptId();
        if (hold == null) {
            return CompletableFuture.failedFuture(
                    RequestFailure.notRun(
                            FailureCode.UNAVAILABLE, "hold " + holdId + " does not exist"));
        }
        if (timeLeft.isNegative() || timeLeft.isZero()) {
            return CompletableFuture.failedFuture(
                    RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "deadline passed"));
        }
        if (hold.mAttempts.contains(attempt)) {
            return CompletableFuture.failedFuture(
                    RequestFailure.of(
                            FailureCode.IN_PROGRESS,
                            Execution.UNKNOWN,
                            "attempt " + attempt + " was sent before"));
        }
        CompletableFuture<Segment> result = new CompletableFuture<>();
        hold.mAttempts.add(attempt);
        // Replaced below; an engine that answers at once finds the entry in place.
        hold.mPrefills.put(attempt, () -> {});
        Timer timer =
                mClock.schedule(
                        timeLeft, () -> mLoop.execute(() -> stopPrefill(hold, attempt, result)));
        Cancellable call =
                mEngine.prefill(prefill)
                        .subscribe()
                        .with(
                                segment ->
                                        mLoop.execute(
                                                () -> prefilled(hold, attempt, segment, result)),
                                failure ->
                                        mLoop.execute(
                                                () -> failed(hold, attempt, failure, result)));
        hold.mPrefills.computeIfPresent(
                attempt,
                (id, ignored) ->
                        () -> {
                            call.cancel();
                            cancelAtEngine(attempt);
                        });
        result.whenComplete((segment, failure) -> timer.cancel());
        return result;
    }

    /** Releases all holds; completes when the engine has released their segments. */
    public CompletableFuture<Void> releaseAll() {
        List<CompletableFuture<Void>> deletions = new ArrayList<>();
        for (Hold hold : List.copyOf(mHolds.values())) {
            deletions.addAll(remove(hold));
        }
        return CompletableFuture.allOf(deletions.toArray(new CompletableFuture<?>[0]));
    }

    private void prefilled(
            Hold hold, AttemptId attempt, Segment segment, CompletableFuture<Segment> result) {
        if (hold.mPrefills.remove(attempt) == null) {
            deleteAtEngine(segment.handle());
            return;
        }
        hold.mHandles.add(segment.handle());
        result.complete(segment);
    }

    private void failed(
            Hold hold, AttemptId attempt, Throwable failure, CompletableFuture<Segment> result) {
        if (hold.mPrefills.remove(attempt) != null) {
            result.completeExceptionally(failure);
        }
    }

    private void stopPrefill(Hold hold, AttemptId attempt, CompletableFuture<Segment> result) {
        Runnable stop = hold.mPrefills.remove(attempt);
        if (stop != null) {
            stop.run();
        }
        result.completeExceptionally(
                RequestFailure.of(
                        FailureCode.DEADLINE_EXCEEDED,
                        Execution.UNKNOWN,
                        "deadline passed during prefill"));
    }

    private List<CompletableFuture<Void>> remove(Hold hold) {
        mHolds.remove(hold.mId);
        List.copyOf(hold.mPrefills.values()).forEach(Runnable::run);
        hold.mPrefills.clear();
        mScheduler.releaseSegment(hold.mId);
        return hold.mHandles.stream().map(this::deleteAtEngine).toList();
    }

    private void cancelAtEngine(AttemptId attempt) {
        // An orphan that remains is found by the next reconciliation.
        mEngine.cancel(attempt).subscribe().with(ignored -> {}, failure -> {});
    }

    private CompletableFuture<Void> deleteAtEngine(String handle) {
        return mEngine.releaseSegment(handle)
                .onFailure()
                .invoke(f -> sLogger.atWarning().log("segment %s is not released: %s", handle, f))
                .onFailure()
                .recoverWithNull()
                .subscribeAsCompletionStage();
    }
}
