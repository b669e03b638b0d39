package org.tanagergap.document;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.OperationDefinition;
import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.configuration.ServiceKind;
import org.tanagergap.api.configuration.UpstreamDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;

/** Converts configuration records to JSON; omits the fields of the other service kind. */
final class ConfigurationWriter {

    private ConfigurationWriter() {}

    static ObjectNode write(Configuration configuration) {
        ObjectNode root = object();
        root.set("services", array(configuration.services(), ConfigurationWriter::service));
        root.set("workspaces", array(configuration.workspaces(), ConfigurationWriter::workspace));
        root.set("ranks", array(configuration.ranks(), ConfigurationWriter::rank));
        root.set("upstreams", array(configuration.upstreams(), ConfigurationWriter::upstream));
        return root;
    }

    private static ObjectNode service(ServiceDefinition service) {
        ObjectNode node = object();
        node.put("name", service.name());
        node.put("kind", service.kind().name().toLowerCase(Locale.ROOT));
        service.model().ifPresent(model -> node.put("model", model));
        if (service.kind() == ServiceKind.MODEL) {
            node.put("max_prompt_tokens", service.maxPromptTokens());
        } else {
            node.set("operations", array(service.operations(), ConfigurationWriter::operation));
        }
        return node;
    }

    private static ObjectNode operation(OperationDefinition operation) {
        return object().put("method", operation.method())
                .put("path_prefix", operation.pathPrefix())
                .put("idempotent", operation.idempotent());
    }

    private static ObjectNode workspace(WorkspaceDefinition workspace) {
        ObjectNode node = object();
        node.put("name", workspace.name());
        node.put("weight", workspace.weight());
        node.set("services", texts(workspace.services()));
        node.set("ranks", texts(workspace.ranks()));
        node.put("default_rank", workspace.defaultRank());
        node.set("keys", array(workspace.keys(), ConfigurationWriter::key));
        return node;
    }

    private static ObjectNode key(KeyDefinition key) {
        return object().put("id", key.id()).put("salt", key.salt()).put("hash", key.hash());
    }

    private static ObjectNode rank(RankDefinition rank) {
        return object().put("name", rank.name())
                .put("priority", rank.priority())
                .put("floor_percent", rank.floorPercent())
                .put("default_deadline_ms", rank.defaultDeadline().toMillis())
                .put("max_deadline_ms", rank.maxDeadline().toMillis());
    }

    private static ObjectNode upstream(UpstreamDefinition upstream) {
        ObjectNode node = object();
        node.put("name", upstream.name());
        node.put("service", upstream.service());
        node.put("agent_address", upstream.agentAddress());
        node.put("failure_domain", upstream.failureDomain());
        if (upstream.memoryTokens() != 0) {
            node.put("memory_tokens", upstream.memoryTokens());
        }
        if (upstream.concurrency() != 0) {
            node.put("concurrency", upstream.concurrency());
        }
        node.put("checks_fencing", upstream.checksFencing());
        return node;
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static ArrayNode texts(List<String> texts) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        texts.forEach(array::add);
        return array;
    }

    private static <T> ArrayNode array(List<T> values, Function<T, ObjectNode> converter) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        values.forEach(value -> array.add(converter.apply(value)));
        return array;
    }
}
