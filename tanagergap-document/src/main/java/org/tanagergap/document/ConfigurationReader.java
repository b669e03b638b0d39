package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.StreamSupport;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.OperationDefinition;
import org.tanagergap.api.configuration.RankDefinition;
import org.tanagergap.api.configuration.ServiceDefinition;
import org.tanagergap.api.configuration.ServiceKind;
import org.tanagergap.api.configuration.UpstreamDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;

/** Converts the JSON tree of a valid document to configuration records. */
final class ConfigurationReader {

    private ConfigurationReader() {}

    static Configuration read(JsonNode root, long version) {
        return new Configuration(
                version,
                list(root.path("services"), ConfigurationReader::service),
                list(root.path("workspaces"), ConfigurationReader::workspace),
                list(root.path("ranks"), ConfigurationReader::rank),
                list(root.path("upstreams"), ConfigurationReader::upstream));
    }

    private static ServiceDefinition service(JsonNode node) {
        return new ServiceDefinition(
                node.path("name").asText(),
                ServiceKind.valueOf(node.path("kind").asText().toUpperCase(Locale.ROOT)),
                Optional.ofNullable(node.path("model").textValue()),
                node.path("max_prompt_tokens").asLong(),
                list(node.path("operations"), ConfigurationReader::operation));
    }

    private static OperationDefinition operation(JsonNode node) {
        return new OperationDefinition(
                node.path("method").asText(),
                node.path("path_prefix").asText(),
                node.path("idempotent").asBoolean());
    }

    private static WorkspaceDefinition workspace(JsonNode node) {
        return new WorkspaceDefinition(
                node.path("name").asText(),
                node.path("weight").asInt(),
                list(node.path("services"), JsonNode::asText),
                list(node.path("ranks"), JsonNode::asText),
                node.path("default_rank").asText(),
                list(node.path("keys"), ConfigurationReader::key));
    }

    private static KeyDefinition key(JsonNode node) {
        return new KeyDefinition(
                node.path("id").asText(),
                node.path("salt").asText().toLowerCase(Locale.ROOT),
                node.path("hash").asText().toLowerCase(Locale.ROOT));
    }

    private static RankDefinition rank(JsonNode node) {
        return new RankDefinition(
                node.path("name").asText(),
                node.path("priority").asInt(),
                node.path("floor_percent").asInt(),
                Duration.ofMillis(node.path("default_deadline_ms").asLong()),
                Duration.ofMillis(node.path("max_deadline_ms").asLong()));
    }

    private static UpstreamDefinition upstream(JsonNode node) {
        return new UpstreamDefinition(
                node.path("name").asText(),
                node.path("service").asText(),
                node.path("agent_address").asText(),
                node.path("failure_domain").asText(),
                node.path("memory_tokens").asLong(),
                node.path("concurrency").asInt(),
                node.path("checks_fencing").asBoolean());
    }

    private static <T> List<T> list(JsonNode array, Function<JsonNode, T> converter) {
        return StreamSupport.stream(array.spliterator(), false).map(converter).toList();
    }
}
