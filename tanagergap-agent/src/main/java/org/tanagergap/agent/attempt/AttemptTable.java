package org.tanagergap.agent.attempt;

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
import org.tanagergap.agent.load.AgentReadiness;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.agent.policy.PolicyRegistry;
import org.tanagergap.agent.reservation.SegmentReservations;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.decisions.ratelimit.UpstreamPause;
import org.tanagergap.decisions.scheduling.AdmissionDecision;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.decisions.scheduling.ReconcileResult;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * All attempts of the agent, each from its arrival to the release of its reservation. All methods
 * run on the agent's event loop.
 */
public final class AttemptTable {

    /** A plain call uses one unit of the scheduler's capacity, which is then the concurrency. */
    private static final RequestCost PLAIN_CALL_COST = new RequestCost(0, 1);

    private final AttemptContext mContext;
    private final UpstreamScheduler mScheduler;
    private final AttemptFactory mFactory;
    private final SegmentReservations mReservations;
    private final PolicyRegistry mPolicies;
    private final AgentReadiness mReadiness;
    private final UpstreamPause mPause;
    private final String mService;
    private final Map<AttemptId, Attempt> mAttempts = new HashMap<>();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();

    public AttemptTable(
            AttemptContext context,
            UpstreamScheduler scheduler,
            AttemptFactory factory,
            SegmentReservations reservations,
            PolicyRegistry policies,
            AgentReadiness readiness,
            UpstreamPause pause,
            String service) {
        mContext = Objects.requireNonNull(context, "context must not be null");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        mFactory = Objects.requireNonNull(factory, "factory must not be null");
        mReservations = Objects.requireNonNull(reservations, "reservations must not be null");
        mPolicies = Objects.requireNonNull(policies, "policies must not be null");
        mReadiness = Objects.requireNonNull(readiness, "readiness must not be null");
        mPause = Objects.requireNonNull(pause, "pause must not be null");
        mService = Objects.requireNonNull(service, "service must not be null");
    }

    /**
     * Admits or refuses an attempt.
     *
     * @return action to run when the caller closes the call
     */
    public Runnable submit(RunRequest request, EventSink sink) {
        try {
            check(request);
            PolicyStamp policy = mPolicies.effective(ProtocolMessages.stamp(request.getPolicy()));
            RequestCost cost = cost(request);
            Attempt attempt = mFactory.create(request, sink, policy);
            if (request.getCompletion().getHoldId().isEmpty()) {
                queue(attempt, policy, cost);
            } else {
                runInReservation(attempt, request.getCompletion().getHoldId());
            }
            return attempt::closedByCaller;
        } catch (RequestFailure refusal) {
            refuse(request, sink, refusal);
            return () -> {};
        }
    }

    /** Cancels an attempt; returns false if this agent has no such attempt. */
    public boolean cancel(AttemptId id) {
        Attempt attempt = mAttempts.get(id);
        if (attempt == null) {
            return false;
        }
        attempt.closedByCaller();
        return true;
    }

    /** Removes expired reservations and queued work, then dispatches the work that fits. */
    public void expireAndDispatch() {
        mReservations.extendAndExpire();
        checkDrained();
        for (WorkItem item : mScheduler.takeExpired()) {
            find(item).ifPresent(a -> a.fail(expired(item)));
        }
        if (mPause.remaining(mContext.clock().nanoTime()).isEmpty()) {
            mScheduler.takeDispatchable().forEach(this::dispatch);
        }
    }

    private void dispatch(WorkItem item) {
        Optional<Attempt> attempt = find(item);
        attempt.ifPresent(Attempt::dispatch);
        if (attempt.isEmpty()) {
            mScheduler.release(item.attemptId(), 0);
        }
    }

    /**
     * Compares the attempts with the engine's runs.
     *
     * @return orphaned runs, which must be cancelled
     */
    public List<AttemptId> reconcile(List<EngineRun> engineRuns) {
        Set<AttemptId> reservedAttempts = mReservations.attempts();
        Set<AttemptId> listedAttempts = new HashSet<>();
        List<EngineRun> runs = new ArrayList<>();
        for (EngineRun run : engineRuns) {
            if (!reservedAttempts.contains(run.attemptId())) {
                runs.add(run);
                listedAttempts.add(run.attemptId());
            }
        }
        for (Attempt attempt : mAttempts.values()) {
            // A run that was only just sent may not be in the engine's list yet. The scheduler has
            // no record of one that runs in a reservation.
            if (attempt.hasLeftQueue()
                    && attempt.isDispatchUnconfirmed()
                    && !reservedAttempts.contains(attempt.id())
                    && listedAttempts.add(attempt.id())) {
                runs.add(new EngineRun(attempt.id(), 0));
            }
        }
        ReconcileResult result = mScheduler.reconcile(runs);
        for (AttemptId released : result.released()) {
            Attempt attempt = mAttempts.get(released);
            if (attempt != null) {
                attempt.fail(
                        RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED,
                                attempt.knownExecution(),
                                "engine no longer lists the run"));
            }
        }
        expireAndDispatch();
        return result.orphans();
    }

    /** Starts draining; completes when no attempt and no work in a reservation is left. */
    public CompletableFuture<Void> drain() {
        mReadiness.startDraining();
        checkDrained();
        return mDrained;
    }

    /** Fails the attempts that remain when the drain timeout ends. */
    public void failAll() {
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            attempt.fail(
                    RequestFailure.of(
                            FailureCode.UNAVAILABLE,
                            attempt.hasLeftQueue() ? attempt.knownExecution() : Execution.NOT_RUN,
                            "agent stops"));
        }
    }

    /** Number of attempts, queued or running. */
    public int size() {
        return mAttempts.size();
    }

    private void queue(Attempt attempt, PolicyStamp policy, RequestCost cost) {
        WorkItem item = new WorkItem(attempt.id(), policy, cost, attempt.deadline());
        AdmissionDecision decision = mScheduler.submit(item);
        if (decision instanceof AdmissionDecision.Refused refused) {
            attempt.fail(
                    RequestFailure.notRun(refused.code(), refused.message())
                            .withRetryAfter(refused.retryAfter()));
            return;
        }
        mAttempts.put(attempt.id(), attempt);
        attempt.admit(
                outputTokens -> {
                    mScheduler.release(attempt.id(), outputTokens);
                    removeAttempt(attempt);
                });
        for (WorkItem displaced : ((AdmissionDecision.Queued) decision).displaced()) {
            find(displaced)
                    .ifPresent(
                            a ->
                                    a.fail(
                                            RequestFailure.notRun(
                                                    FailureCode.OVERLOADED,
                                                    "queue is full and the workspace is above"
                                                            + " its share")));
        }
        expireAndDispatch();
    }

    private void runInReservation(Attempt attempt, String reservationId) {
        Reservation reservation =
                mReservations
                        .use(reservationId, attempt.id())
                        .orElseThrow(
                                () ->
                                        RequestFailure.notRun(
                                                FailureCode.UNAVAILABLE,
                                                "hold " + reservationId + " is not available"));
        mAttempts.put(attempt.id(), attempt);
        attempt.admit(
                outputTokens -> {
                    reservation.release(outputTokens);
                    removeAttempt(attempt);
                });
        attempt.dispatch();
    }

    private void removeAttempt(Attempt attempt) {
        mAttempts.remove(attempt.id());
        checkDrained();
        // The freed memory may fit the next queued item; runs after the current task of the loop.
        mContext.loop().execute(this::expireAndDispatch);
    }

    private void checkDrained() {
        if (mReadiness.draining() && mAttempts.isEmpty() && mReservations.running() == 0) {
            mDrained.complete(null);
        }
    }

    private void check(RunRequest request) {
        if (mReadiness.draining()) {
            throw RequestFailure.notRun(FailureCode.UNAVAILABLE, "agent is draining");
        }
        if (!mReadiness.upstreamReady()) {
            throw RequestFailure.notRun(FailureCode.UNAVAILABLE, "upstream is not ready");
        }
        if (!request.getService().equals(mService)) {
            throw RequestFailure.notRun(
                    FailureCode.UNKNOWN_SERVICE,
                    "upstream does not serve \"" + request.getService() + "\"");
        }
        if (request.getDeadlineLeftMs() <= 0) {
            throw RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "deadline has passed");
        }
        Optional<Duration> pause = mPause.remaining(mContext.clock().nanoTime());
        if (pause.filter(p -> p.toMillis() >= request.getDeadlineLeftMs()).isPresent()) {
            throw RequestFailure.notRun(
                            FailureCode.OVERLOADED,
                            "upstream takes no requests before the deadline")
                    .withRetryAfter(pause.get());
        }
        if (mAttempts.containsKey(new AttemptId(request.getAttemptId()))) {
            throw RequestFailure.of(
                    FailureCode.IN_PROGRESS,
                    Execution.UNKNOWN,
                    "attempt " + request.getAttemptId() + " is already here");
        }
        mFactory.check(request);
    }

    private void refuse(RunRequest request, EventSink sink, RequestFailure refusal) {
        new AttemptLog(mContext, request).failed(refusal, 0, 0);
        sink.send(
                RunEvent.newBuilder()
                        .setAttemptId(request.getAttemptId())
                        .setFailed(ProtocolMessages.failed(refusal))
                        .setHint(mContext.hints().apply(request.getKnownPrefixRevision()))
                        .build());
        sink.end();
    }

    private Optional<Attempt> find(WorkItem item) {
        return Optional.ofNullable(mAttempts.get(item.attemptId()));
    }

    private static RequestCost cost(RunRequest request) {
        return request.hasCompletion()
                ? ProtocolMessages.cost(request.getCompletion().getCost())
                : PLAIN_CALL_COST;
    }

    private RequestFailure expired(WorkItem item) {
        if (item.deadline().hasPassed(mContext.clock())) {
            return RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "deadline passed in queue");
        }
        return RequestFailure.notRun(
                FailureCode.BODY_TOO_LARGE, "request no longer fits the upstream's memory");
    }
}
