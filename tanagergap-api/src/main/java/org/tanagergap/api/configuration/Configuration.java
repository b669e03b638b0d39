package org.tanagergap.api.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Accepted configuration as of one version.
 *
 * @param version number of the acceptance, rising by one; 0 before the first
 * @param services what callers may use
 * @param workspaces who may call
 * @param ranks classes of work, in order of worth
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

    /** Copy with another version. */
    public Configuration withVersion(long newVersion) {
        return new Configuration(newVersion, services, workspaces, ranks, upstreams);
    }

    /** Service with the given name. */
    public Optional<ServiceDefinition> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Service that offers the given model. */
    public Optional<ServiceDefinition> serviceOfModel(String model) {
        return services.stream()
                .filter(s -> s.model().filter(model::equals).isPresent())
                .findFirst();
    }

    /** Workspace with the given name. */
    public Optional<WorkspaceDefinition> workspace(String name) {
        return workspaces.stream().filter(w -> w.name().equals(name)).findFirst();
    }

    /** Rank with the given name. */
    public Optional<RankDefinition> rank(String name) {
        return ranks.stream().filter(r -> r.name().equals(name)).findFirst();
    }

    /** Upstream with the given name. */
    public Optional<UpstreamDefinition> upstream(String name) {
        return upstreams.stream().filter(u -> u.name().equals(name)).findFirst();
    }
}
