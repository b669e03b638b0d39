package org.tanagergap.entry.execution;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RoutingRequest;

/** Chooses the agents for the attempts of one request. */
final class AgentChoice {

    /** Retry delay that is suggested to callers when no agent is reachable. */
    private static final Duration NO_AGENT_RETRY_AFTER = Duration.ofMillis(500);

    private final ExecutorContext mContext;
    private final CallerRequest mRequest;

    AgentChoice(ExecutorContext context, CallerRequest request) {
        mContext = context;
        mRequest = request;
    }

    /** Chooses an agent and counts the attempt as sent to it until the attempt ends. */
    Optional<AgentEndpoint> choose(AttemptId attempt, Set<String> excluded) {
        return mContext.router()
                .choose(
                        new RoutingRequest(
                                attempt,
                                mRequest.service(),
                                mRequest.policy().rankPriority(),
                                mRequest.payload().cost(),
                                mRequest.payload().prefixHash(),
                                mRequest.payload().affinityKey(),
                                excluded));
    }

    boolean exceedsLargestEngine(RequestPayload.Completion completion) {
        long largest = mContext.router().largestMemoryTokens(mRequest.service());
        return largest > 0 && completion.cost().memoryTokens() > largest;
    }

    /** Failure of a request for which there is no agent and that has not failed before. */
    RequestFailure noAgentFailure() {
        return RequestFailure.notRun(
                        FailureCode.UNAVAILABLE,
                        "service \"" + mRequest.service() + "\" has no reachable upstream")
                .withRetryAfter(NO_AGENT_RETRY_AFTER);
    }
}
