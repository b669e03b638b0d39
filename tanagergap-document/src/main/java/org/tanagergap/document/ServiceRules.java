package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Validates services against each other and against their upstreams. */
final class ServiceRules {

    private ServiceRules() {}

    static void check(JsonNode root, DocumentFindings findings) {
        JsonNode services = root.path("services");
        findings.requireUnique(services, "/services", "name");
        // A request names only the model, so two services with one model would be ambiguous.
        findings.requireUnique(services, "/services", "model");
        Map<String, Long> memory = memoryByService(root.path("upstreams"));
        for (int i = 0; i < services.size(); i++) {
            JsonNode service = services.path(i);
            String pointer = "/services/" + i;
            String kind = service.path("kind").asText();
            if (kind.equals("model")) {
                checkModel(service, pointer, memory, findings);
            } else if (kind.equals("plain")) {
                checkPlain(service, pointer, findings);
            }
        }
    }

    private static void checkModel(
            JsonNode service, String pointer, Map<String, Long> memory, DocumentFindings findings) {
        if (service.path("model").isMissingNode()) {
            findings.add(pointer + "/model", "is required for a model service");
        }
        if (!service.path("operations").isEmpty()) {
            findings.add(pointer + "/operations", "must be absent or empty for a model service");
        }
        long maxPromptTokens = service.path("max_prompt_tokens").asLong();
        long memoryTokens = memory.getOrDefault(service.path("name").asText(), 0L);
        if (maxPromptTokens < 1) {
            findings.add(pointer + "/max_prompt_tokens", "must be at least 1 for a model service");
        } else if (maxPromptTokens > memoryTokens) {
            findings.add(
                    pointer + "/max_prompt_tokens",
                    String.format(
                            "%d exceeds the %d memory tokens of all upstreams of the service",
                            maxPromptTokens, memoryTokens));
        }
    }

    private static void checkPlain(JsonNode service, String pointer, DocumentFindings findings) {
        if (service.has("model")) {
            findings.add(pointer + "/model", "must be absent for a plain service");
        }
        if (service.path("max_prompt_tokens").asLong() != 0) {
            findings.add(pointer + "/max_prompt_tokens", "must be absent or 0 for a plain service");
        }
        JsonNode operations = service.path("operations");
        Map<String, String> firstPointers = new HashMap<>();
        for (int i = 0; i < operations.size(); i++) {
            JsonNode operation = operations.path(i);
            String call =
                    operation.path("method").asText()
                            + " "
                            + operation.path("path_prefix").asText();
            findings.reportIfDuplicate(firstPointers, call, pointer + "/operations/" + i);
        }
    }

    private static Map<String, Long> memoryByService(JsonNode upstreams) {
        Map<String, Long> memory = new HashMap<>();
        for (JsonNode upstream : upstreams) {
            memory.merge(
                    upstream.path("service").asText(),
                    upstream.path("memory_tokens").asLong(),
                    Long::sum);
        }
        return memory;
    }
}
