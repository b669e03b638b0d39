package org.tanagergap.console;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.List;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.status.ProcessState;
import org.tanagergap.runtime.status.ProcessStatus;
import org.tanagergap.runtime.status.ProcessStatusClient;
import org.tanagergap.state.configuration.ConfigurationStore;

/** Route that reports which processes have the accepted version in effect. */
final class StatusRoutes {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    private final ProcessStatusClient mClient;
    private final List<HostPort> mProcesses;
    private final ConfigurationStore mStore;

    StatusRoutes(Vertx vertx, List<HostPort> processes, ConfigurationStore store) {
        mClient = new ProcessStatusClient(vertx, RESPONSE_TIMEOUT);
        mProcesses = processes;
        mStore = store;
    }

    void mount(Router router) {
        router.get("/api/status").respond(context -> status());
    }

    private Future<JsonObject> status() {
        return Futures.toVertx(mStore.read())
                .map(ConsoleJson::version)
                .compose(
                        version ->
                                Futures.toVertx(mClient.read(mProcesses))
                                        .map(statuses -> json(version, statuses)));
    }

    private static JsonObject json(long version, List<ProcessStatus> statuses) {
        JsonArray processes = new JsonArray();
        for (ProcessStatus status : statuses) {
            processes.add(status.json(version).put("detail", status.detail()));
        }
        return new JsonObject()
                .put("version", version)
                .put("in_effect", isInEffect(version, statuses))
                .put("processes", processes);
    }

    /** Returns false without processes, as nothing confirms that the version is in effect. */
    private static boolean isInEffect(long version, List<ProcessStatus> statuses) {
        return !statuses.isEmpty()
                && statuses.stream().allMatch(s -> s.state(version) == ProcessState.IN_EFFECT);
    }
}
