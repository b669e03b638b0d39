package org.tanagergap.agent.reservation;

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
 * Memory reservations for spanning prompts, which the protocol calls holds, and the segments
 * computed in them. A completion that names a reservation runs in its memory without further
 * admission. All methods run on the agent's event loop.
 */
public final class SegmentReservations {

    /** Longest time until a reservation expires unless it is extended. */
    public static final Duration MAX_EXPIRY = Duration.ofSeconds(10);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final UpstreamScheduler mScheduler;
    private final ModelEngine mEngine;
    private final RuntimeClock mClock;
    private final Executor mLoop;
    private final Map<String, SegmentReservation> mReservations = new HashMap<>();

    public SegmentReservations(
            UpstreamScheduler scheduler, ModelEngine engine, RuntimeClock clock, Executor loop) {
        mScheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        mEngine = Objects.requireNonNull(engine, "engine must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mLoop = Objects.requireNonNull(loop, "loop must not be null");
    }

    /**
     * Reserves memory, or extends the expiry of an existing reservation; returns false if the
     * memory could not be reserved.
     */
    public boolean reserve(String reservationId, long tokens, Duration expiresIn) {
        Duration expiry = expiresIn.compareTo(MAX_EXPIRY) < 0 ? expiresIn : MAX_EXPIRY;
        SegmentReservation existing = mReservations.get(reservationId);
        if (existing != null) {
            return mScheduler.reserveSegment(reservationId, existing.mTokens, expiry);
        }
        if (!mScheduler.reserveSegment(reservationId, tokens, expiry)) {
            return false;
        }
        mReservations.put(reservationId, new SegmentReservation(reservationId, tokens));
        return true;
    }

    /**
     * Releases a reservation and its segments. A reservation with a running completion is released
     * when the completion ends.
     */
    public void release(String reservationId) {
        SegmentReservation reservation = mReservations.get(reservationId);
        if (reservation != null && !reservation.mRunning) {
            remove(reservation);
        }
    }

    /**
     * Uses a reservation's memory for a completion; empty if the reservation does not exist or a
     * completion already uses it.
     */
    public Optional<Reservation> use(String reservationId, AttemptId attempt) {
        SegmentReservation reservation = mReservations.get(reservationId);
        if (reservation == null || reservation.mRunning) {
            return Optional.empty();
        }
        reservation.mRunning = true;
        reservation.mAttempts.add(attempt);
        return Optional.of(
                tokens -> {
                    reservation.mRunning = false;
                    remove(reservation);
                });
    }

    /** Extends the reservations in use and removes the expired ones. */
    public void extendAndExpire() {
        for (SegmentReservation reservation : mReservations.values()) {
            if (reservation.inUse()) {
                mScheduler.reserveSegment(reservation.mId, reservation.mTokens, MAX_EXPIRY);
            }
        }
        for (String expiredId : mScheduler.releaseExpiredSegments()) {
            SegmentReservation reservation = mReservations.get(expiredId);
            if (reservation != null) {
                remove(reservation);
            }
        }
    }

    /** Attempts that run in reservations; the scheduler has no record of them. */
    public Set<AttemptId> attempts() {
        Set<AttemptId> attempts = new HashSet<>();
        mReservations.values().forEach(r -> attempts.addAll(r.mAttempts));
        return attempts;
    }

    /** Number of completions and prefills that run in reservations. */
    public int running() {
        return mReservations.values().stream()
                .mapToInt(r -> (r.mRunning ? 1 : 0) + r.mPrefills.size())
                .sum();
    }

    /** Computes a segment in the memory of a reservation. */
    public CompletableFuture<Segment> prefill(
            String reservationId, SegmentPrefill prefill, Duration timeToDeadline) {
        SegmentReservation reservation = mReservations.get(reservationId);
        AttemptId attempt = prefill.attemptId();
        if (reservation == null) {
            return CompletableFuture.failedFuture(
                    RequestFailure.notRun(
                            FailureCode.UNAVAILABLE, "hold " + reservationId + " does not exist"));
        }
        if (timeToDeadline.isNegative() || timeToDeadline.isZero()) {
            return CompletableFuture.failedFuture(
                    RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "deadline passed"));
        }
        if (reservation.mAttempts.contains(attempt)) {
            return CompletableFuture.failedFuture(
                    RequestFailure.of(
                            FailureCode.IN_PROGRESS,
                            Execution.UNKNOWN,
                            "attempt " + attempt + " was sent before"));
        }
        CompletableFuture<Segment> result = new CompletableFuture<>();
        reservation.mAttempts.add(attempt);
        // Replaced below; the entry must exist in case the engine responds synchronously.
        reservation.mPrefills.put(attempt, () -> {});
        Timer timer =
                mClock.schedule(
                        timeToDeadline,
                        () -> mLoop.execute(() -> stopPrefill(reservation, attempt, result)));
        Cancellable call =
                mEngine.prefill(prefill)
                        .subscribe()
                        .with(
                                segment ->
                                        mLoop.execute(
                                                () ->
                                                        prefillFinished(
                                                                reservation,
                                                                attempt,
                                                                segment,
                                                                result)),
                                failure ->
                                        mLoop.execute(
                                                () ->
                                                        prefillFailed(
                                                                reservation,
                                                                attempt,
                                                                failure,
                                                                result)));
        reservation.mPrefills.computeIfPresent(
                attempt,
                (id, ignored) ->
                        () -> {
                            call.cancel();
                            cancelOnEngine(attempt);
                        });
        result.whenComplete((segment, failure) -> timer.cancel());
        return result;
    }

    /** Releases all reservations; completes when the engine has released their segments. */
    public CompletableFuture<Void> releaseAll() {
        List<CompletableFuture<Void>> deletions = new ArrayList<>();
        for (SegmentReservation reservation : List.copyOf(mReservations.values())) {
            deletions.addAll(remove(reservation));
        }
        return CompletableFuture.allOf(deletions.toArray(new CompletableFuture<?>[0]));
    }

    private void prefillFinished(
            SegmentReservation reservation,
            AttemptId attempt,
            Segment segment,
            CompletableFuture<Segment> result) {
        if (reservation.mPrefills.remove(attempt) == null) {
            deleteOnEngine(segment.handle());
            return;
        }
        reservation.mHandles.add(segment.handle());
        result.complete(segment);
    }

    private void prefillFailed(
            SegmentReservation reservation,
            AttemptId attempt,
            Throwable failure,
            CompletableFuture<Segment> result) {
        if (reservation.mPrefills.remove(attempt) != null) {
            result.completeExceptionally(failure);
        }
    }

    private void stopPrefill(
            SegmentReservation reservation, AttemptId attempt, CompletableFuture<Segment> result) {
        Runnable stop = reservation.mPrefills.remove(attempt);
        if (stop != null) {
            stop.run();
        }
        result.completeExceptionally(
                RequestFailure.of(
                        FailureCode.DEADLINE_EXCEEDED,
                        Execution.UNKNOWN,
                        "deadline passed during prefill"));
    }

    private List<CompletableFuture<Void>> remove(SegmentReservation reservation) {
        mReservations.remove(reservation.mId);
        List.copyOf(reservation.mPrefills.values()).forEach(Runnable::run);
        reservation.mPrefills.clear();
        mScheduler.releaseSegment(reservation.mId);
        return reservation.mHandles.stream().map(this::deleteOnEngine).toList();
    }

    private void cancelOnEngine(AttemptId attempt) {
        // If this fails, the next reconciliation finds the run as an orphan.
        mEngine.cancel(attempt).subscribe().with(ignored -> {}, failure -> {});
    }

    private CompletableFuture<Void> deleteOnEngine(String handle) {
        return mEngine.releaseSegment(handle)
                .onFailure()
                .invoke(
                        f ->
                                sLogger.atWarning().log(
                                        "failed to release segment %s on the engine: %s",
                                        handle, f))
                .onFailure()
                .recoverWithNull()
                .subscribeAsCompletionStage();
    }
}
