package org.tanagergap.decisions.baseline;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RoutingRequest;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.testing.PausedClock;

class BaselineTests {

    private final PausedClock mClock = new PausedClock();

    private WorkItem item(String id, int priority, long tokens) {
        return new WorkItem(
                new AttemptId(id),
                new PolicyStamp(1, "w", 1, "r" + priority, priority, 0),
                new RequestCost(tokens, 0),
                Deadline.after(mClock, Duration.ofSeconds(1)));
    }

    /**
     * Guards against a baseline that does better than first come, first served, or leaks memory.
     */
    @Test
    void workRunsInOrderOfArrivalAndReleasesItsMemoryOnce() {
        FirstComeScheduler scheduler = new FirstComeScheduler(mClock, 100);
        List.of(item("a", 9, 60), item("b", 9, 60), item("c", 0, 10)).forEach(scheduler::submit);
        assertThat(scheduler.takeDispatchable()).containsExactly(item("a", 9, 60));
        assertThat(scheduler.release(new AttemptId("a"), 0)).isTrue();
        assertThat(scheduler.release(new AttemptId("a"), 0)).isFalse();
        assertThat(scheduler.takeDispatchable()).hasSize(2);
        assertThat(scheduler.reserveSegment("h", 40, Duration.ofSeconds(1))).isFalse();
        scheduler.release(new AttemptId("b"), 0);
        assertThat(scheduler.reserveSegment("h", 40, Duration.ofSeconds(1))).isTrue();
        scheduler.submit(item("d", 0, 99));
        mClock.advance(Duration.ofSeconds(1));
        assertThat(scheduler.releaseExpiredSegments()).containsExactly("h");
        assertThat(scheduler.takeExpired()).hasSize(1);
        scheduler.release(new AttemptId("c"), 0);
        assertThat(scheduler.reservedTokens()).isEqualTo(0);
        assertThat(scheduler.prefillTokensQueued()).isEqualTo(0);
    }

    /** Guards against a baseline that considers load or keeps choosing unreachable agents. */
    @Test
    void agentsAreChosenInTurn() {
        RoundRobinRouter router = new RoundRobinRouter(mClock);
        AgentEndpoint a = new AgentEndpoint("a", "chat", "a:1", "d");
        AgentEndpoint b = new AgentEndpoint("b", "chat", "b:1", "d");
        router.replaceAgents(List.of(a, b));
        RoutingRequest request =
                new RoutingRequest(
                        new AttemptId("r"),
                        "chat",
                        0,
                        new RequestCost(10, 10),
                        Optional.empty(),
                        Optional.empty(),
                        Set.of());
        AgentEndpoint first = router.choose(request).orElseThrow();
        AgentEndpoint second = router.choose(request).orElseThrow();
        assertThat(Set.of(first, second)).containsExactly(a, b);
        assertThat(router.choose(request)).hasValue(first);
        router.connectionFailed("a");
        assertThat(router.choose(request)).hasValue(b);
    }
}
