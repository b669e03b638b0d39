package org.tanagergap.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RouterSettings;
import org.tanagergap.decisions.routing.RoutingRequest;
import org.tanagergap.decisions.routing.SubsetRequestRouter;
import org.tanagergap.testing.PausedClock;

/** Heap and processor time of an entry's router by number of agents in its subset. */
final class RouterSlopes {

    private static final List<Integer> SIZES = List.of(140, 280, 560, 1_120);
    private static final int CHOICES = 200_000;
    private static final String SERVICE = "service-0";

    private RouterSlopes() {}

    static List<Slope> measure() {
        Slope heap = new Slope("heap of the router per agent", "bytes");
        Slope choice = new Slope("one routing choice per agent, processor time", "ns");
        for (int size : SIZES) {
            heap.add(size, ResourceMeter.retainedBytes(() -> routerWithAgents(size)));
            SubsetRequestRouter router = routerWithAgents(size);
            chooseRepeatedly(router);
            choice.add(
                    size,
                    ResourceMeter.cpuNanos(() -> chooseRepeatedly(router)) / (double) CHOICES);
        }
        return List.of(heap, choice);
    }

    private static void chooseRepeatedly(SubsetRequestRouter router) {
        for (int i = 0; i < CHOICES; i++) {
            AttemptId attempt = new AttemptId("r" + i + ".1");
            router.choose(
                    new RoutingRequest(
                            attempt,
                            SERVICE,
                            0,
                            new RequestCost(2_000, 64),
                            Optional.empty(),
                            Optional.empty(),
                            Set.of()));
            router.attemptEnded(attempt);
        }
    }

    private static SubsetRequestRouter routerWithAgents(int agents) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        SubsetRequestRouter router =
                new SubsetRequestRouter(new PausedClock(), RouterSettings.defaults("fd-0"), random);
        List<AgentEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < agents; i++) {
            String address = "10.0.%d.%d:7100".formatted(i / 256, i % 256);
            endpoints.add(new AgentEndpoint("engine-" + i, SERVICE, address, "fd-" + i % 9));
        }
        router.replaceAgents(endpoints);
        endpoints.forEach(e -> router.hintReceived(e.name(), SampleHints.busy()));
        return router;
    }
}
