package org.tanagergap.agent.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.agent.hold.HoldTable;
import org.tanagergap.agent.load.AgentState;
import org.tanagergap.agent.message.Messages;
import org.tanagergap.agent.policy.PolicyTable;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.decisions.scheduling.AdmissionDecision;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.decisions.scheduling.ReconcileResult;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Attempts from their arrival to the release of their reservation. All methods run on the agent's
 * loop.
 */
public final class AttemptTable {

    /** A plain call occupies one unit of the scheduler's capacity, which is the concurrency. */
    private static final RequestCost PLAIN_COST = new RequestCost(0, 1);

    private final AttemptContext mContext;
    private final UpstreamScheduler mScheduler;
    private final AttemptFactory mFactory;
    private final HoldTable mHolds;
    private final PolicyTable mPolicies;
    private final AgentState mState;
    private final String mService;
    private final Map<AttemptId, Attempt> mAttempts = new HashMap<>();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();

    public AttemptTable(
            AttemptContext context,
            UpstreamScheduler scheduler,
            AttemptFactory factory,
            HoldTable holds,
            PolicyTable policies,
            AgentState state,
            String service) {
        mContext = Objects.requireNonNull(context, "context must not be null");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        mFactory = Objects.requireNonNull(factory, "factory must not be null");
        mHolds = Objects.requireNonNull(holds, "holds must not be null");
        mPolicies = Objects.requireNonNull(policies, "policies must not be null");
        mState = Objects.requireNonNull(state, "state must not be null");
        mService = Objects.requireNonNull(service, "service must not be null");
    }

    /** Accepts or refuses an attempt; returns what to run when its caller closes the call. */
    public Runnable submit(RunRequest request, EventSink sink) {
        try {
            check(request);
            PolicyStamp policy = mPolicies.effective(Messages.stamp(request.getPolicy()));
            RequestCost cost = cost(request);
            Attempt attempt = mFactory.create(request, sink, policy);
            if (request.getCompletion().getHoldId().isEmpty()) {
                queue(attempt, policy, cost);
            } else {
                runUnderHold(attempt, request.getCompletion().getHoldId());
            }
            return attempt::closedByCaller;
        } catch (RequestFailure refusal) {
            refuse(request, sink, refusal);
            return () -> {};
        }
    }

    /** Cancels an attempt; returns whether it was known. */
    public boolean cancel(AttemptId id) {
        Attempt attempt = mAttempts.get(id);
        if (attempt == null) {
            return false;
        }
        attempt.closedByCaller();
        return true;
    }

    /** Drops expired work and starts what fits. */
    public void pump() {
        mHolds.tick();
        checkDrained();
        for (WorkItem item : mScheduler.takeExpired()) {
            find(item).ifPresent(a -> a.fail(expired(item)));
        }
        for (WorkItem item : mScheduler.takeDispatchable()) {
            Optional<Attempt> attempt = find(item);
            attempt.ifPresent(Attempt::dispatch);
            if (attempt.isEmpty()) {
                mScheduler.release(item.attemptId(), 0);
            }
        }
    }

    /** Compares the attempts with the engine's runs; returns the runs that must be cancelled. */
    public List<AttemptId> reconcile(List<EngineRun> engineRuns) {
        Set<AttemptId> held = mHolds.attempts();
        Set<AttemptId> listed = new HashSet<>();
        List<EngineRun> runs = new ArrayList<>();
        for (EngineRun run : engineRuns) {
            if (!held.contains(run.attemptId())) {
                runs.add(run);
                listed.add(run.attemptId());
            }
        }
        for (Attempt attempt : mAttempts.values()) {
            // The engine may not list a run that is on its way to it.
            if (attempt.reachedUpstream()
                    && attempt.beingDispatched()
                    && listed.add(attempt.id())) {
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
        pump();
        return result.orphans();
    }

    /** Completes when draining and no attempt is left. */
    public CompletableFuture<Void> drained() {
        mState.startDraining();
        checkDrained();
        return mDrained;
    }

    /** Fails the attempts that are left at the end of the time for draining. */
    public void failAll() {
        for (Attempt attempt : List.copyOf(mAttempts.values())) {
            attempt.fail(
                    RequestFailure.of(
                            FailureCode.UNAVAILABLE,
                            attempt.reachedUpstream()
                                    ? attempt.knownExecution()
                                    : Execution.NOT_RUN,
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
                    forget(attempt);
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
        pump();
    }

    private void runUnderHold(Attempt attempt, String holdId) {
        Reservation reservation =
                mHolds.use(holdId, attempt.id())
                        .orElseThrow(
                                () ->
                                        RequestFailure.notRun(
                                                FailureCode.UNAVAILABLE,
                                                "hold " + holdId + " is not available"));
        mAttempts.put(attempt.id(), attempt);
        attempt.admit(
                outputTokens -> {
                    reservation.release(outputTokens);
                    forget(attempt);
                });
        attempt.dispatch();
    }

    private void forget(Attempt attempt) {
        mAttempts.remove(attempt.id());
        checkDrained();
        // Freed memory may admit the next item; the loop runs this after the present event.
        mContext.loop().execute(this::pump);
    }

    private void checkDrained() {
        if (mState.draining() && mAttempts.isEmpty() && mHolds.running() == 0) {
            mDrained.complete(null);
        }
    }

    private void check(RunRequest request) {
        if (mState.draining()) {
            throw RequestFailure.notRun(FailureCode.UNAVAILABLE, "agent is draining");
        }
        if (!mState.upstreamReady()) {
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
                        .setFailed(Messages.failed(refusal))
                        .setHint(mContext.hints().apply(request.getKnownPrefixRevision()))
                        .build());
        sink.end();
    }

    private Optional<Attempt> find(WorkItem item) {
        return Optional.ofNullable(mAttempts.get(item.attemptId()));
    }

    private static RequestCost cost(RunRequest request) {
        return request.hasCompletion()
                ? Messages.cost(request.getCompletion().getCost())
                : PLAIN_COST;
    }

    private RequestFailure expired(WorkItem item) {
        if (item.deadline().hasPassed(mContext.clock())) {
            return RequestFailure.notRun(FailureCode.DEADLINE_EXCEEDED, "deadline passed in queue");
        }
        return RequestFailure.notRun(
                FailureCode.BODY_TOO_LARGE, "request no longer fits the upstream's memory");
    }
}
