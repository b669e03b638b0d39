package org.tanagergap.measure.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RouterSettings;
import org.tanagergap.decisions.routing.RoutingRequest;
import org.tanagergap.decisions.routing.SubsetRequestRouter;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.testing.PausedClock;

/** Cost of choosing an agent at an entry. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 4, time = 2)
@Measurement(iterations = 4, time = 3)
@Fork(1)
public class RoutingBenchmark {

    private static final long SEED = 1;

    @Param({"35", "70", "140"})
    int mAgents;

    private SubsetRequestRouter mRouter;
    private long mSequence;

    /** Registers the agents and gives each a random load. */
    @Setup
    public void registerAgents() {
        Random random = new Random(SEED);
        mRouter =
                new SubsetRequestRouter(new PausedClock(), RouterSettings.defaults("fd-a"), random);
        List<AgentEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < mAgents; i++) {
            endpoints.add(new AgentEndpoint("agent-" + i, "chat", "127.0.0.1:1", "fd-a"));
        }
        mRouter.replaceAgents(endpoints);
        for (AgentEndpoint endpoint : endpoints) {
            mRouter.hintReceived(endpoint.name(), hint(random.nextInt(20_000)));
        }
    }

    /** Measures one choice, including the end of the attempt. */
    @Benchmark
    public Optional<AgentEndpoint> choose() {
        AttemptId attempt = new AttemptId("a" + mSequence++);
        Optional<AgentEndpoint> chosen =
                mRouter.choose(
                        new RoutingRequest(
                                attempt,
                                "chat",
                                0,
                                new RequestCost(1_000, 64),
                                Optional.of("prefix-" + mSequence % 1_000),
                                Optional.empty(),
                                Set.of()));
        mRouter.attemptEnded(attempt);
        return chosen;
    }

    private static LoadHint hint(long queuedTokens) {
        return new LoadHint(
                1_000_000,
                500_000,
                new PrefillBacklog(queuedTokens, 0, 0),
                20_000,
                Map.of(),
                false,
                true,
                Duration.ZERO,
                Set.of(),
                1);
    }
}
