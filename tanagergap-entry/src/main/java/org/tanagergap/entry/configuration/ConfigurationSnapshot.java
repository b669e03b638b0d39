package org.tanagergap.entry.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;

/** One version of the configuration, with lookup tables for the handling of requests. */
public final class ConfigurationSnapshot {

    /** Snapshot of a process that has received no configuration. */
    public static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(Configuration.EMPTY, "");

    private final Configuration mConfiguration;
    private final String mDocument;
    private final Map<String, WorkspaceKey> mKeys = new HashMap<>();
    private final Map<String, RankDefinition> mRanks = new HashMap<>();
    private final Map<String, ServiceDefinition> mServices = new HashMap<>();
    private final Map<String, ServiceDefinition> mServicesByModel = new HashMap<>();

    public ConfigurationSnapshot(Configuration configuration, String document) {
        mConfiguration = configuration;
        mDocument = document;
        for (WorkspaceDefinition workspace : configuration.workspaces()) {
            for (KeyDefinition key : workspace.keys()) {
                mKeys.put(key.id(), new WorkspaceKey(workspace, key));
            }
        }
        configuration.ranks().forEach(r -> mRanks.put(r.name(), r));
        for (ServiceDefinition service : configuration.services()) {
            mServices.put(service.name(), service);
            service.model().ifPresent(model -> mServicesByModel.put(model, service));
        }
    }

    public Configuration configuration() {
        return mConfiguration;
    }

    public long version() {
        return mConfiguration.version();
    }

    /** Text of the document, for peers. */
    public String document() {
        return mDocument;
    }

    /** Key with the given public part. */
    public Optional<WorkspaceKey> key(String id) {
        return Optional.ofNullable(mKeys.get(id));
    }

    public Optional<RankDefinition> rank(String name) {
        return Optional.ofNullable(mRanks.get(name));
    }

    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    public Optional<ServiceDefinition> serviceOfModel(String model) {
        return Optional.ofNullable(mServicesByModel.get(model));
    }
}
