package org.tanagergap.entry;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.entry.caller.RequestsInFlight;
import org.tanagergap.entry.configuration.ConfigurationView;

/** Builds the status document of an entry for operators. */
final class EntryStatus {

    private final EntrySettings mSettings;
    private final ConfigurationView mView;
    private final RequestRouter mRouter;
    private final RequestsInFlight mRequests;

    EntryStatus(
            EntrySettings settings,
            ConfigurationView view,
            RequestRouter router,
            RequestsInFlight requests) {
        mSettings = settings;
        mView = view;
        mRouter = router;
        mRequests = requests;
    }

    JsonObject toJson(boolean ready) {
        JsonArray agents = new JsonArray();
        mRouter.agents().forEach(agent -> agents.add(agent(agent)));
        return new JsonObject()
                .put("program", "tanagergap-entry")
                .put("name", mSettings.id())
                .put("id", mSettings.id())
                .put("failure_domain", mSettings.failureDomain())
                .put("ready", ready)
                .put("configuration_version", mView.current().version())
                .put("requests_in_flight", mRequests.count())
                .put("agents", agents);
    }

    private JsonObject agent(AgentEndpoint agent) {
        JsonObject json =
                new JsonObject()
                        .put("name", agent.name())
                        .put("service", agent.service())
                        .put("address", agent.address())
                        .put("failure_domain", agent.failureDomain());
        mRouter.hint(agent.name()).ifPresent(hint -> json.put("hint", hint(hint)));
        return json;
    }

    private static JsonObject hint(LoadHint hint) {
        JsonObject ranks = new JsonObject();
        hint.ranks()
                .forEach(
                        (name, load) ->
                                ranks.put(
                                        name,
                                        new JsonObject()
                                                .put("queued", load.queued())
                                                .put("queued_tokens", load.queuedTokens())));
        return new JsonObject()
                .put("configuration_version", hint.configurationVersion())
                .put("memory_tokens_total", hint.memoryTokensTotal())
                .put("memory_tokens_free", hint.memoryTokensFree())
                .put("prefill_tokens_queued", hint.prefillTokensQueued())
                .put("prefill_tokens_per_second", hint.prefillTokensPerSecond())
                .put("draining", hint.draining())
                .put("upstream_ready", hint.upstreamReady())
                .put("load_report_age_ms", hint.loadReportAge().toMillis())
                .put("ranks", ranks);
    }
}
