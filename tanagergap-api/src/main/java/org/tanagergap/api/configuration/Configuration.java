package org.tanagergap.api.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Accepted configuration as of one version.
 *
 * @param version version number, incremented with each acceptance; 0 before the first
 * @param services services that callers may use
 * @param workspaces workspaces whose callers may send requests
 * @param ranks classes of work, the most important first
 * @param upstreams back ends that serve the services
 */
public record Configuration(
        long version,
        List<ServiceDefinition> services,
        List<WorkspaceDefinition> workspaces,
        List<RankDefinition> ranks,
        List<UpstreamDefinition> upstreams) {

    /** Configuration of a process that has received none. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), List.of(), List.of(), List.of());

    public Configuration {
        services = List.copyOf(services);
        workspaces = List.copyOf(workspaces);
        ranks = List.copyOf(ranks);
        upstreams = List.copyOf(upstreams);
    }

    /** Returns a copy with another version. */
    public Configuration withVersion(long newVersion) {
        return new Configuration(newVersion, services, workspaces, ranks, upstreams);
    }

    public Optional<ServiceDefinition> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Returns the service that offers the given model. */
    public Optional<ServiceDefinition> serviceOfModel(String model) {
        return services.stream()
                .filter(s -> s.model().filter(model::equals).isPresent())
                .findFirst();
    }

    public Optional<WorkspaceDefinition> workspace(String name) {
        return workspaces.stream().filter(w -> w.name().equals(name)).findFirst();
    }

    public Optional<RankDefinition> rank(String name) {
        return ranks.stream().filter(r -> r.name().equals(name)).findFirst();
    }

    public Optional<UpstreamDefinition> upstream(String name) {
        return upstreams.stream().filter(u -> u.name().equals(name)).findFirst();
    }
}
