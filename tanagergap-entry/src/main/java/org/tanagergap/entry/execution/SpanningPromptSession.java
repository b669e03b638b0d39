package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.spanning.PromptSegment;
import org.tanagergap.decisions.spanning.SpanningPromptPlan;
import org.tanagergap.decisions.spanning.SpanningPromptPlanner;
import org.tanagergap.protocol.v1.HoldReply;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;
import org.tanagergap.protocol.v1.SegmentHandle;

/**
 * Reserves memory for one attempt of a prompt that exceeds the memory of one engine, on all agents
 * or none, in ascending order of agent name; then prefills all segments but the last. Confined to
 * the event loop of the request.
 */
final class SpanningPromptSession {

    /** An extension is repeated once, so that an agent may be silent for 3 s. */
    private static final Duration EXTENSION_INTERVAL = Duration.ofSeconds(2);

    /** Agents update their hints every 2 s or with each response. */
    private static final Duration MEMORY_POLL_INTERVAL = Duration.ofMillis(250);

    /**
     * Longest time for which memory is extended while the caller reads nothing. The run may have
     * ended meanwhile, and its end is not read.
     */
    private static final Duration MAX_READING_PAUSE = Duration.ofSeconds(5);

    private static final Duration RESERVATION_TIMEOUT = Duration.ofSeconds(2);

    /** With the interval and the first timeout, an agent that is silent for good costs 5 s. */
    private static final Duration REPEATED_EXTENSION_TIMEOUT = Duration.ofSeconds(1);

    private final ExecutorContext mContext;
    private final Context mEventLoop;
    private final CallerRequest mRequest;
    private final RequestPayload.Completion mPayload;
    private final AttemptId mAttempt;
    private final ReadingPause mReadingPause;
    private final SpanningPromptListener mListener;
    private final SegmentReservationClient mReservations;
    private final SpanningPromptAgents mAgents;
    private final SpanningPromptPlanner mPlanner = new SpanningPromptPlanner();
    private final Map<String, HoldReply> mReservationReplies = new HashMap<>();
    private final List<SegmentHandle> mSegmentHandles = new ArrayList<>();
    private final long mStartNanos;

    private List<PromptSegment> mSegments = List.of();
    private int mReservedCount;
    private Execution mExecution = Execution.NOT_RUN;
    private boolean mPrefillComplete;
    private boolean mClosed;
    private Timer mTimer = () -> {};

    SpanningPromptSession(
            ExecutorContext context,
            Context eventLoop,
            CallerRequest request,
            RequestPayload.Completion payload,
            AttemptId attempt,
            ReadingPause readingPause,
            SpanningPromptListener listener) {
        mContext = context;
        mStartNanos = context.clock().nanoTime();
        mEventLoop = eventLoop;
        mRequest = request;
        mPayload = payload;
        mAttempt = attempt;
        mReadingPause = readingPause;
        mListener = listener;
        mReservations = new SegmentReservationClient(context, request, attempt);
        mAgents = new SpanningPromptAgents(context, request.service());
    }

    /** Execution status so far; unknown from the first prefill call to its reply. */
    Execution execution() {
        return mExecution;
    }

    /** Plans the segments and reserves memory; polls while other requests occupy the memory. */
    void start() {
        if (mClosed) {
            return;
        }
        SpanningPromptPlan plan = mPlanner.plan(mPayload.cost(), mAgents.candidates());
        if (plan instanceof SpanningPromptPlan.Placed placed) {
            mSegments = placed.segments();
            reserve(0);
        } else if (plan instanceof SpanningPromptPlan.Impossible impossible
                && mAgents.allHaveHints()) {
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

    /** Releases all memory reservations. */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mTimer.cancel();
        releaseAll();
    }

    private void reserve(int index) {
        if (index == mSegments.size()) {
            schedule(EXTENSION_INTERVAL, this::extendReservations);
            prefill(0);
            return;
        }
        // A reservation whose reply is lost may exist, so it is released like a confirmed one.
        mReservedCount = index + 1;
        reserveSegment(mSegments.get(index), RESERVATION_TIMEOUT)
                .onComplete(
                        reply -> reservationReplied(index, reply), failure -> reservationRefused());
    }

    private Future<HoldReply> reserveSegment(PromptSegment segment, Duration timeout) {
        return mReservations.reserve(address(segment), segment.memoryTokens(), timeout);
    }

    private void release(PromptSegment segment) {
        mReservations.release(address(segment));
    }

    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mContext.clock().nanoTime() - mStartNanos);
    }

    private void reservationReplied(int index, HoldReply reply) {
        if (mClosed) {
            // The reservation may have reached the agent after its release.
            release(mSegments.get(index));
        } else if (reply.getHeld()) {
            mReservationReplies.put(mSegments.get(index).agent(), reply);
            reserve(index + 1);
        } else {
            reservationRefused();
        }
    }

    private void reservationRefused() {
        if (!mClosed) {
            releaseAll();
            schedule(MEMORY_POLL_INTERVAL, this::start);
        }
    }

    private void prefill(int index) {
        PromptSegment segment = mSegments.get(index);
        if (index == mSegments.size() - 1) {
            mPrefillComplete = true;
            RequestCost cost =
                    new RequestCost(segment.promptTokens(), mPayload.cost().maxOutputTokens());
            mListener.segmentsPrefilled(
                    mAgents.agent(segment.agent()),
                    new RequestPayload.Completion(
                            mPayload.model(), segmentText(index), cost, mPayload.hash()),
                    new SpanningPromptReservation(mAttempt.value(), mSegmentHandles));
            return;
        }
        long timeToDeadlineMillis =
                Math.max(1, mRequest.deadline().remaining(mContext.clock()).toMillis());
        PrefillSegmentRequest request =
                PrefillSegmentRequest.newBuilder()
                        .setHoldId(mAttempt.value())
                        .setAttemptId(mAttempt.value() + ".segment" + index)
                        .setModel(mPayload.model())
                        .setPrompt(segmentText(index))
                        .addAllSegments(mSegmentHandles)
                        .setPolicy(RunRequestWriter.policy(mRequest.policy()))
                        .setDeadlineLeftMs(timeToDeadlineMillis)
                        .build();
        mExecution = mExecution == Execution.RAN ? mExecution : Execution.UNKNOWN;
        mContext.clients()
                .agent(address(segment))
                .compose(client -> client.prefillSegment(request))
                .onComplete(
                        reply -> prefilled(index, reply), failure -> agentFailed(segment, failure));
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
            String url = mReservationReplies.get(mSegments.get(index).agent()).getUpstreamUrl();
            handle = handle.toBuilder().setUrl(url).build();
        }
        mSegmentHandles.add(handle);
        prefill(index + 1);
    }

    // Once the last segment runs, its agent maintains the reservation of the run itself.
    private void extendReservations() {
        if (mClosed) {
            return;
        }
        if (!mReadingPause.exceeds(MAX_READING_PAUSE)) {
            extendUsedReservations();
        }
        schedule(EXTENSION_INTERVAL, this::extendReservations);
    }

    private void extendUsedReservations() {
        int count = mPrefillComplete ? mSegments.size() - 1 : mSegments.size();
        for (PromptSegment segment : mSegments.subList(0, count)) {
            reserveSegment(segment, RESERVATION_TIMEOUT)
                    .onFailure(failure -> extensionFailed(segment, failure));
        }
    }

    /** An agent that was silent once may go on; a refused or broken connection is a failure. */
    private void extensionFailed(PromptSegment segment, Throwable failure) {
        if (mClosed || mPrefillComplete) {
            return;
        }
        if (!(failure instanceof TimeoutException)) {
            agentFailed(segment, failure);
            return;
        }
        reserveSegment(segment, REPEATED_EXTENSION_TIMEOUT)
                .onFailure(
                        repeated -> {
                            if (!mPrefillComplete) {
                                agentFailed(segment, repeated);
                            }
                        });
    }

    private void agentFailed(PromptSegment segment, Throwable cause) {
        if (mClosed) {
            return;
        }
        mContext.router().connectionFailed(segment.agent());
        fail(
                RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED,
                                mExecution,
                                "agent " + segment.agent() + " failed during a long prompt")
                        .withCause(cause));
    }

    private void fail(RequestFailure failure) {
        close();
        mListener.spanningPromptFailed(failure);
    }

    private void releaseAll() {
        mSegments.subList(0, mReservedCount).forEach(this::release);
        mReservedCount = 0;
        mReservationReplies.clear();
        mSegmentHandles.clear();
    }

    private String address(PromptSegment segment) {
        return mAgents.agent(segment.agent()).address();
    }

    private String segmentText(int index) {
        return SegmentText.of(mPayload, mSegments, index);
    }

    private void schedule(Duration delay, Runnable task) {
        mTimer =
                mContext.clock()
                        .schedule(delay, () -> mEventLoop.runOnContext(ignored -> task.run()));
    }
}
