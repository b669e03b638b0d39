package org.tanagergap.measure.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.decisions.routing.RoutingRequest;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.measure.workload.RequestRecord;

/** Model of an entry without a network: runs the measured router, retries refused attempts. */
final class EntryModel {

    static final String SERVICE = "assistant";

    private static final double MAX_RETRY_TOKENS = 10;
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(500);

    private final RuntimeClock mClock;
    private final FleetSettings mSettings;
    private final Policy mPolicy;
    private final RequestRouter mRouter;
    private final Map<String, AgentModel> mAgents;
    private final Map<String, Link> mLinks;
    private final LongConsumer mTokenGapRecorder;
    private double mRetryTokens = MAX_RETRY_TOKENS;

    EntryModel(
            RuntimeClock clock,
            FleetSettings settings,
            Policy policy,
            RequestRouter router,
            Map<String, AgentModel> agents,
            Map<String, Link> links,
            Collection<AgentEndpoint> endpoints,
            LongConsumer tokenGapRecorder) {
        mClock = clock;
        mSettings = settings;
        mPolicy = policy;
        mRouter = router;
        mAgents = agents;
        mLinks = links;
        mTokenGapRecorder = tokenGapRecorder;
        router.replaceAgents(endpoints);
        exchangePeriodically();
    }

    void accept(RequestId id, RequestRecord request) {
        mRetryTokens = Math.min(MAX_RETRY_TOKENS, mRetryTokens + mPolicy.retryRatio());
        attempt(id, request, Set.of());
    }

    private void attempt(RequestId id, RequestRecord request, Set<String> excluded) {
        AttemptId attempt = id.attempt(request.attempts() + 1);
        Optional<AgentEndpoint> chosen =
                mRouter.choose(
                        new RoutingRequest(
                                attempt,
                                SERVICE,
                                request.requestClass().policy().rankPriority(),
                                request.cost(),
                                Optional.empty(),
                                Optional.empty(),
                                excluded));
        if (chosen.isEmpty()) {
            end(request, RequestRecord.Outcome.REFUSED);
            return;
        }
        request.nextAttempt();
        String agent = chosen.get().name();
        WorkItem item =
                new WorkItem(
                        attempt,
                        request.requestClass().policy(),
                        request.cost(),
                        new Deadline(request.deadlineNanos()));
        Link link = mLinks.get(agent);
        AttemptEvents events = new AttemptEvents(id, request, attempt, agent, excluded);
        link.send(() -> mAgents.get(agent).submit(item, events));
    }

    private void end(RequestRecord request, RequestRecord.Outcome outcome) {
        request.ended(outcome, mClock.nanoTime() + mSettings.clientDelay().toNanos());
    }

    private void exchangePeriodically() {
        for (AgentEndpoint agent : mRouter.exchangeDue(1)) {
            sendHint(agent.name());
        }
        mClock.schedule(EXCHANGE_INTERVAL, this::exchangePeriodically);
    }

    private void sendHint(String agent) {
        var hint = mAgents.get(agent).hint();
        mClock.schedule(mSettings.hintLag(), () -> mRouter.hintReceived(agent, hint));
    }

    private final class AttemptEvents implements AttemptObserver {

        private final RequestId mId;
        private final RequestRecord mRequest;
        private final AttemptId mAttempt;
        private final String mAgent;
        private final Set<String> mExcluded;

        AttemptEvents(
                RequestId id,
                RequestRecord request,
                AttemptId attempt,
                String agent,
                Set<String> excluded) {
            mId = id;
            mRequest = request;
            mAttempt = attempt;
            mAgent = agent;
            mExcluded = excluded;
        }

        @Override
        public void onAdmitted() {
            mRequest.admitted();
            sendHint(mAgent);
        }

        @Override
        public void onProgress(long tokens) {
            mRequest.progressed(mClock.nanoTime(), tokens);
        }

        // The return delay is the same for all tokens of an attempt, so it is added to the
        // timestamp
        // instead of scheduling an event for each token.
        @Override
        public void onToken(long index) {
            long gap = mRequest.tokenReceived(mClock.nanoTime() + returnDelayNanos());
            if (gap >= 0) {
                mTokenGapRecorder.accept(gap);
            }
        }

        @Override
        public void onFinished() {
            finish(RequestRecord.Outcome.FINISHED);
        }

        @Override
        public void onDeadlineExceeded() {
            finish(RequestRecord.Outcome.DEADLINE_EXCEEDED);
        }

        @Override
        public void onRefused(String reason) {
            sendHint(mAgent);
            mLinks.get(mAgent).send(this::handleRefusal);
        }

        private void handleRefusal() {
            mRouter.attemptEnded(mAttempt);
            boolean beforeDeadline = mClock.nanoTime() < mRequest.deadlineNanos();
            if (beforeDeadline
                    && mRequest.attempts() < mPolicy.maxAttempts()
                    && mRetryTokens >= 1) {
                mRetryTokens -= 1;
                Set<String> excluded = new HashSet<>(mExcluded);
                excluded.add(mAgent);
                attempt(mId, mRequest, excluded);
                return;
            }
            end(mRequest, RequestRecord.Outcome.REFUSED);
        }

        private void finish(RequestRecord.Outcome outcome) {
            mRouter.attemptEnded(mAttempt);
            sendHint(mAgent);
            end(mRequest, outcome);
        }

        private long returnDelayNanos() {
            return mSettings.clientDelay().plus(mSettings.crossDomainDelay()).toNanos();
        }
    }
}
