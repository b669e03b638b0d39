package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.spanning.PromptSegment;
import org.tanagergap.decisions.spanning.SpanningPromptCandidate;
import org.tanagergap.decisions.spanning.SpanningPromptPlan;
import org.tanagergap.decisions.spanning.SpanningPromptPlanner;
import org.tanagergap.protocol.v1.HoldReply;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;
import org.tanagergap.protocol.v1.ReleaseHoldRequest;
import org.tanagergap.protocol.v1.SegmentHandle;

/**
 * Reserves memory for one attempt of a prompt that exceeds one engine, all or nothing in ascending
 * order of agent name, and prefills all segments but the last. Confined to the request's event
 * loop.
 */
final class SpanSession {

    /** Section 7.4 of the design page. */
    private static final Duration HOLD_EXPIRY = Duration.ofSeconds(10);

    /** Two extensions can be lost before a hold expires. */
    private static final Duration EXTENSION_INTERVAL = Duration.ofSeconds(3);

    /** Agents refresh their hints every 2 s or with each answer. */
    private static final Duration MEMORY_POLL_INTERVAL = Duration.ofMillis(250);

    private static final long HOLD_TIMEOUT_MILLIS = 2_000;

    private final ExecutorContext mShared;
    private final Context mEventLoop;
    private final CallerRequest mRequest;
    private final Work.Completion mWork;
    private final AttemptId mAttempt;
    private final SpanListener mListener;
    private final SpanningPromptPlanner mPlanner = new SpanningPromptPlanner();
    private final Map<String, HoldReply> mHolds = new HashMap<>();
    private final List<SegmentHandle> mHandles = new ArrayList<>();
    private final long mStartNanos;

    private List<PromptSegment> mSegments = List.of();
    private Map<String, AgentEndpoint> mAgents = Map.of();
    private int mHeld;
    private Execution mExecution = Execution.NOT_RUN;
    private boolean mPlaced;
    private boolean mClosed;
    private Timer mTimer = () -> {};

    SpanSession(
            ExecutorContext shared,
            Context eventLoop,
            CallerRequest request,
            Work.Completion work,
            AttemptId attempt,
            SpanListener listener) {
        mShared = shared;
        mStartNanos = shared.clock().nanoTime();
        mEventLoop = eventLoop;
        mRequest = request;
        mWork = work;
        mAttempt = attempt;
        mListener = listener;
    }

    /** What is known about execution so far. */
    Execution execution() {
        return mExecution;
    }

    /** Plans the prompt and reserves memory; waits while other work occupies the memory. */
    void start() {
        if (mClosed) {
            return;
        }
        SpanningPromptPlan plan = mPlanner.plan(mWork.cost(), candidates());
        if (plan instanceof SpanningPromptPlan.Placed placed) {
            mSegments = placed.segments();
            hold(0);
        } else if (plan instanceof SpanningPromptPlan.Impossible impossible && allAgentsKnown()) {
            fail(
                    RequestFailure.notRun(
                                    FailureCode.BODY_TOO_LARGE,
                                    "the prompt and its output need about "
                                            + impossible.neededTokens()
                                            + " tokens of memory; the engines have "
                                            + impossible.totalTokens())
                            .withField("/prompt"));
        } else {
            schedule(MEMORY_POLL_INTERVAL, this::start);
        }
    }

    /** Releases all holds. */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mTimer.cancel();
        releaseAll();
    }

    /**
     * An agent that restarts or is out of reach for a moment still counts as the fleet's memory.
     */
    private boolean allAgentsKnown() {
        return mShared.router().agents().stream()
                .filter(agent -> agent.service().equals(mRequest.service()))
                .allMatch(agent -> mAgents.containsKey(agent.name()));
    }

    private List<SpanningPromptCandidate> candidates() {
        mAgents = new HashMap<>();
        List<SpanningPromptCandidate> candidates = new ArrayList<>();
        for (AgentEndpoint agent : mShared.router().spanningCandidates(mRequest.service())) {
            Optional<LoadHint> hint = mShared.router().hint(agent.name());
            if (hint.isPresent()) {
                mAgents.put(agent.name(), agent);
                candidates.add(
                        new SpanningPromptCandidate(
                                agent.name(),
                                hint.get().memoryTokensTotal(),
                                hint.get().memoryTokensFree()));
            }
        }
        return candidates;
    }

    private void hold(int index) {
        if (index == mSegments.size()) {
            schedule(EXTENSION_INTERVAL, this::extend);
            prefill(0);
            return;
        }
        // A hold whose reply is lost may exist, so it is released like those that were confirmed.
        mHeld = index + 1;
        sendHold(mSegments.get(index))
                .onComplete(reply -> holdAnswered(index, reply), failure -> holdRefused());
    }

    private Future<HoldReply> sendHold(PromptSegment segment) {
        HoldRequest request =
                HoldRequest.newBuilder()
                        .setHoldId(mAttempt.value())
                        .setTokens(segment.memoryTokens())
                        .setExpiresInMs(HOLD_EXPIRY.toMillis())
                        .setPolicy(RunRequestWriter.policy(mRequest.policy()))
                        .build();
        return mShared.clients()
                .agent(address(segment))
                .compose(client -> client.hold(request))
                .timeout(HOLD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Time since the session was created. */
    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mShared.clock().nanoTime() - mStartNanos);
    }

    private void holdAnswered(int index, HoldReply reply) {
        if (mClosed) {
            // The hold may have arrived after its release.
            release(mSegments.get(index));
        } else if (reply.getHeld()) {
            mHolds.put(mSegments.get(index).agent(), reply);
            hold(index + 1);
        } else {
            holdRefused();
        }
    }

    private void holdRefused() {
        if (!mClosed) {
            releaseAll();
            schedule(MEMORY_POLL_INTERVAL, this::start);
        }
    }

    private void prefill(int index) {
        PromptSegment segment = mSegments.get(index);
        if (index == mSegments.size() - 1) {
            mPlaced = true;
            RequestCost cost =
                    new RequestCost(segment.promptTokens(), mWork.cost().maxOutputTokens());
            mListener.placed(
                    mAgents.get(segment.agent()),
                    new Work.Completion(mWork.model(), text(index), cost, mWork.hash()),
                    new SpanReservation(mAttempt.value(), mHandles));
            return;
        }
        long leftMillis = Math.max(1, mRequest.deadline().remaining(mShared.clock()).toMillis());
        PrefillSegmentRequest request =
                PrefillSegmentRequest.newBuilder()
                        .setHoldId(mAttempt.value())
                        .setAttemptId(mAttempt.value() + ".segment" + index)
                        .setModel(mWork.model())
                        .setPrompt(text(index))
                        .addAllSegments(mHandles)
                        .setPolicy(RunRequestWriter.policy(mRequest.policy()))
                        .setDeadlineLeftMs(leftMillis)
                        .build();
        mExecution = mExecution == Execution.RAN ? mExecution : Execution.UNKNOWN;
        mShared.clients()
                .agent(address(segment))
                .compose(client -> client.prefillSegment(request))
                .onComplete(reply -> prefilled(index, reply), failure -> broken(segment, failure));
    }

    private void prefilled(int index, PrefillSegmentReply reply) {
        if (mClosed) {
            return;
        }
        if (reply.hasFailed()) {
            RequestFailure failure = WireFailures.read(reply.getFailed());
            fail(
                    mExecution == Execution.RAN
                            ? WireFailures.withExecution(failure, mExecution)
                            : failure);
            return;
        }
        mExecution = Execution.RAN;
        SegmentHandle handle = reply.getSegment();
        if (handle.getUrl().isEmpty()) {
            String url = mHolds.get(mSegments.get(index).agent()).getUpstreamUrl();
            handle = handle.toBuilder().setUrl(url).build();
        }
        mHandles.add(handle);
        prefill(index + 1);
    }

    // Once the last segment runs, its agent keeps the hold of the run itself.
    private void extend() {
        if (mClosed) {
            return;
        }
        int count = mPlaced ? mSegments.size() - 1 : mSegments.size();
        for (PromptSegment segment : mSegments.subList(0, count)) {
            sendHold(segment)
                    .onFailure(
                            failure -> {
                                if (!mPlaced) {
                                    broken(segment, failure);
                                }
                            });
        }
        schedule(EXTENSION_INTERVAL, this::extend);
    }

    private void broken(PromptSegment segment, Throwable cause) {
        if (mClosed) {
            return;
        }
        mShared.router().connectionFailed(segment.agent());
        fail(
                RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED,
                                mExecution,
                                "agent " + segment.agent() + " failed during a long prompt")
                        .withCause(cause));
    }

    private void fail(RequestFailure failure) {
        close();
        mListener.spanFailed(failure);
    }

    private void releaseAll() {
        mSegments.subList(0, mHeld).forEach(this::release);
        mHeld = 0;
        mHolds.clear();
        mHandles.clear();
    }

    /** A release that is lost is made good by the expiry of the hold. */
    private void release(PromptSegment segment) {
        ReleaseHoldRequest request =
                ReleaseHoldRequest.newBuilder().setHoldId(mAttempt.value()).build();
        mShared.clients().agent(address(segment)).compose(client -> client.releaseHold(request));
    }

    private String address(PromptSegment segment) {
        return mAgents.get(segment.agent()).address();
    }

    private String text(int index) {
        int from = offset(mSegments.get(index).firstToken());
        boolean last = index == mSegments.size() - 1;
        int to = last ? mWork.prompt().length() : offset(mSegments.get(index + 1).firstToken());
        return mWork.prompt().substring(from, to);
    }

    /** Character at which a token probably starts; never within a surrogate pair. */
    private int offset(long token) {
        String prompt = mWork.prompt();
        long tokens = Math.max(1, mWork.cost().promptTokens());
        int offset = (int) (prompt.length() * token / tokens);
        boolean splitsPair =
                offset > 0
                        && offset < prompt.length()
                        && Character.isLowSurrogate(prompt.charAt(offset))
                        && Character.isHighSurrogate(prompt.charAt(offset - 1));
        return splitsPair ? offset + 1 : offset;
    }

    private void schedule(Duration delay, Runnable task) {
        mTimer =
                mShared.clock()
                        .schedule(delay, () -> mEventLoop.runOnContext(ignored -> task.run()));
    }
}
