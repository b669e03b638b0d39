package org.tanagergap.agent.server;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.tanagergap.agent.AgentSettings;
import org.tanagergap.agent.attempt.AttemptTable;
import org.tanagergap.agent.attempt.EventSink;
import org.tanagergap.agent.engine.RemoteSegment;
import org.tanagergap.agent.engine.Segment;
import org.tanagergap.agent.engine.SegmentPrefill;
import org.tanagergap.agent.load.AgentReadiness;
import org.tanagergap.agent.load.CapacityControl;
import org.tanagergap.agent.load.HintSource;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.agent.policy.PolicyRegistry;
import org.tanagergap.agent.reservation.SegmentReservations;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.protocol.v1.CancelReply;
import org.tanagergap.protocol.v1.CancelRequest;
import org.tanagergap.protocol.v1.ExchangeReply;
import org.tanagergap.protocol.v1.ExchangeRequest;
import org.tanagergap.protocol.v1.HoldReply;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;
import org.tanagergap.protocol.v1.ReleaseHoldReply;
import org.tanagergap.protocol.v1.ReleaseHoldRequest;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.SegmentHandle;
import org.tanagergap.protocol.v1.StatusReply;
import org.tanagergap.protocol.v1.StatusRequest;
import org.tanagergap.protocol.v1.UpstreamAgentService;
import org.tanagergap.runtime.async.Futures;

/**
 * Implements the gRPC calls of entries and operators; each is executed on the agent's event loop.
 */
public final class UpstreamAgentRpcHandler extends UpstreamAgentService {

    private final AgentSettings mSettings;
    private final Executor mLoop;
    private final AttemptTable mAttempts;
    private final SegmentReservations mReservations;
    private final UpstreamScheduler mScheduler;
    private final PolicyRegistry mPolicies;
    private final AgentReadiness mReadiness;
    private final CapacityControl mCapacity;
    private final HintSource mHints;

    public UpstreamAgentRpcHandler(
            AgentSettings settings,
            Executor loop,
            AttemptTable attempts,
            SegmentReservations reservations,
            UpstreamScheduler scheduler,
            PolicyRegistry policies,
            AgentReadiness readiness,
            CapacityControl capacity,
            HintSource hints) {
        mSettings = settings;
        mLoop = loop;
        mAttempts = attempts;
        mReservations = reservations;
        mScheduler = scheduler;
        mPolicies = policies;
        mReadiness = readiness;
        mCapacity = capacity;
        mHints = hints;
    }

    /**
     * Runs an attempt.
     *
     * @return action to run when the caller closes the call
     */
    public Runnable run(RunRequest request, EventSink sink) {
        Promise<Runnable> closeAction = Promise.promise();
        mLoop.execute(() -> closeAction.complete(mAttempts.submit(request, sink)));
        return () -> closeAction.future().onSuccess(mLoop::execute);
    }

    @Override
    public Future<CancelReply> cancel(CancelRequest request) {
        return onLoop(
                () -> {
                    mAttempts.cancel(new AttemptId(request.getAttemptId()));
                    return CancelReply.getDefaultInstance();
                });
    }

    @Override
    public Future<HoldReply> hold(HoldRequest request) {
        return onLoop(
                () -> {
                    Optional<String> refusal = refusal(request);
                    boolean held =
                            refusal.isEmpty()
                                    && mReservations.reserve(
                                            request.getHoldId(),
                                            request.getTokens(),
                                            Duration.ofMillis(request.getExpiresInMs()));
                    return HoldReply.newBuilder()
                            .setHeld(held)
                            .setFreeTokens(mScheduler.freeTokens())
                            .setUpstreamUrl(mSettings.upstreamUrl())
                            .setReason(held ? "" : refusal.orElse("memory is not free"))
                            .build();
                });
    }

    @Override
    public Future<ReleaseHoldReply> releaseHold(ReleaseHoldRequest request) {
        return onLoop(
                () -> {
                    mReservations.release(request.getHoldId());
                    mAttempts.expireAndDispatch();
                    return ReleaseHoldReply.getDefaultInstance();
                });
    }

    @Override
    public Future<PrefillSegmentReply> prefillSegment(PrefillSegmentRequest request) {
        Promise<PrefillSegmentReply> reply = Promise.promise();
        SegmentPrefill prefill =
                new SegmentPrefill(
                        new AttemptId(request.getAttemptId()),
                        request.getModel(),
                        request.getPrompt(),
                        request.getSegmentsList().stream()
                                .map(s -> new RemoteSegment(s.getUrl(), s.getHandle()))
                                .toList(),
                        ProtocolMessages.cacheSalt(request.getPolicy().getWorkspace()));
        mLoop.execute(
                () ->
                        mReservations
                                .prefill(
                                        request.getHoldId(),
                                        prefill,
                                        ProtocolMessages.timeLeft(request.getDeadlineLeftMs()))
                                .whenComplete(
                                        (segment, failure) ->
                                                reply.complete(prefillReply(segment, failure))));
        return reply.future();
    }

    @Override
    public Future<ExchangeReply> exchange(ExchangeRequest request) {
        return onLoop(
                () -> {
                    // A request without ranks only reports the entry's configuration version.
                    if (request.getRanksCount() > 0
                            && mPolicies.apply(
                                    request.getConfigurationVersion(), request.getRanksList())
                            && request.getUpstream().getName().equals(mSettings.name())) {
                        mCapacity.configure(request.getUpstream().getMemoryTokens());
                        mAttempts.expireAndDispatch();
                    }
                    return ExchangeReply.newBuilder()
                            .setAgentId(mSettings.name())
                            .setConfigurationVersion(mPolicies.version())
                            .setHint(mHints.since(request.getKnownPrefixRevision()))
                            .build();
                });
    }

    @Override
    public Future<StatusReply> status(StatusRequest request) {
        return onLoop(this::status);
    }

    /** Status of the agent; may be called by any thread. */
    public StatusReply status() {
        return StatusReply.newBuilder()
                .setAgentId(mSettings.name())
                .setUpstream(mSettings.name())
                .setFailureDomain(mSettings.failureDomain())
                .setConfigurationVersion(mPolicies.version())
                .setHint(mHints.get())
                .setRunning(mScheduler.running())
                .setReservedTokens(mScheduler.reservedTokens())
                .build();
    }

    private Optional<String> refusal(HoldRequest request) {
        if (mReadiness.draining()) {
            return Optional.of("agent is draining");
        }
        if (!mReadiness.upstreamReady()) {
            return Optional.of("upstream is not ready");
        }
        if (request.getTokens() <= 0 || request.getExpiresInMs() <= 0) {
            return Optional.of("tokens and expires_in_ms must be positive");
        }
        return Optional.empty();
    }

    private PrefillSegmentReply prefillReply(Segment segment, Throwable failure) {
        if (failure == null) {
            return PrefillSegmentReply.newBuilder()
                    .setSegment(
                            SegmentHandle.newBuilder()
                                    .setUrl(mSettings.upstreamUrl())
                                    .setHandle(segment.handle())
                                    .setTokens(segment.tokens()))
                    .build();
        }
        Throwable root = Futures.rootFailure(failure);
        RequestFailure requestFailure =
                root instanceof RequestFailure request
                        ? request
                        : RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED,
                                Execution.UNKNOWN,
                                "prefill failed: " + root);
        return PrefillSegmentReply.newBuilder()
                .setFailed(ProtocolMessages.failed(requestFailure))
                .build();
    }

    private <T> Future<T> onLoop(Supplier<T> call) {
        Promise<T> reply = Promise.promise();
        mLoop.execute(
                () -> {
                    try {
                        reply.complete(call.get());
                    } catch (RuntimeException e) {
                        reply.fail(e);
                    }
                });
        return reply.future();
    }
}
