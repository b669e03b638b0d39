package org.tanagergap.measure.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.configuration.ServiceKind;
import org.tanagergap.api.configuration.UpstreamDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;

/** Creates configurations with a given number of workspaces and upstreams. */
final class SampleConfigurations {

    private static final List<String> RANKS = List.of("urgent", "standard", "batch");
    private static final int MODELS = 7;
    private static final int FAILURE_DOMAINS = 9;

    private SampleConfigurations() {}

    static Configuration of(int workspaces, int upstreams) {
        List<ServiceDefinition> services = new ArrayList<>();
        for (int i = 0; i < MODELS; i++) {
            services.add(
                    new ServiceDefinition(
                            "service-" + i,
                            ServiceKind.MODEL,
                            Optional.of("model-" + i),
                            100_000,
                            List.of()));
        }
        List<WorkspaceDefinition> workspaceList = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            workspaceList.add(workspace(i));
        }
        List<UpstreamDefinition> upstreamList = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            upstreamList.add(upstream(i));
        }
        return new Configuration(1, services, workspaceList, ranks(), upstreamList);
    }

    private static WorkspaceDefinition workspace(int index) {
        String hash = "%064x".formatted(index);
        return new WorkspaceDefinition(
                "workspace-%05d".formatted(index),
                1,
                List.of("service-" + index % MODELS),
                RANKS,
                "standard",
                List.of(new KeyDefinition("key-%05d".formatted(index), hash.substring(32), hash)));
    }

    private static UpstreamDefinition upstream(int index) {
        return new UpstreamDefinition(
                "engine-%05d".formatted(index),
                "service-" + index % MODELS,
                "10.%d.%d.%d:7100".formatted(index / 65_536, index / 256 % 256, index % 256),
                "fd-" + index % FAILURE_DOMAINS,
                400_000,
                0,
                true);
    }

    private static List<RankDefinition> ranks() {
        List<RankDefinition> ranks = new ArrayList<>();
        for (int i = 0; i < RANKS.size(); i++) {
            ranks.add(
                    new RankDefinition(
                            RANKS.get(i), i, 20, Duration.ofSeconds(10), Duration.ofHours(12)));
        }
        return ranks;
    }
}
