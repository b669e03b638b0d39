package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.HashMap;
import java.util.Map;

/** Validates upstreams and their references to services. */
final class UpstreamRules {

    private static final int MAX_PORT = 65_535;

    private UpstreamRules() {}

    static void check(JsonNode root, DocumentFindings findings) {
        Map<String, String> kinds = new HashMap<>();
        for (JsonNode service : root.path("services")) {
            kinds.putIfAbsent(service.path("name").asText(), service.path("kind").asText());
        }
        JsonNode upstreams = root.path("upstreams");
        findings.requireUnique(upstreams, "/upstreams", "name");
        // Each agent controls a single upstream, so two upstreams cannot share an agent address.
        findings.requireUnique(upstreams, "/upstreams", "agent_address");
        for (int i = 0; i < upstreams.size(); i++) {
            JsonNode upstream = upstreams.path(i);
            String pointer = "/upstreams/" + i;
            checkAddress(upstream.path("agent_address"), pointer, findings);
            JsonNode service = upstream.path("service");
            if (service.isTextual()) {
                String name = service.textValue();
                if (kinds.containsKey(name)) {
                    checkKind(upstream, pointer, kinds.get(name), findings);
                } else {
                    findings.add(pointer + "/service", "service \"" + name + "\" does not exist");
                }
            }
        }
    }

    private static void checkKind(
            JsonNode upstream, String pointer, String kind, DocumentFindings findings) {
        boolean model = kind.equals("model");
        if (!model && !kind.equals("plain")) {
            return;
        }
        checkCapacity(upstream, pointer, "memory_tokens", model, kind, findings);
        checkCapacity(upstream, pointer, "concurrency", !model, kind, findings);
    }

    private static void checkCapacity(
            JsonNode upstream,
            String pointer,
            String field,
            boolean required,
            String kind,
            DocumentFindings findings) {
        long value = upstream.path(field).asLong();
        if (required && value < 1) {
            findings.add(
                    pointer + "/" + field,
                    "must be at least 1 for an upstream of a " + kind + " service");
        } else if (!required && value != 0) {
            findings.add(
                    pointer + "/" + field,
                    "must be absent or 0 for an upstream of a " + kind + " service");
        }
    }

    private static void checkAddress(JsonNode address, String pointer, DocumentFindings findings) {
        if (address.isTextual() && !isHostPort(address.textValue())) {
            findings.add(
                    pointer + "/agent_address",
                    "\"" + address.textValue() + "\" is not valid; expected host:port");
        }
    }

    private static boolean isHostPort(String text) {
        try {
            URI uri = new URI("tcp://" + text);
            return uri.getHost() != null
                    && uri.getPort() >= 1
                    && uri.getPort() <= MAX_PORT
                    && text.equals(uri.getHost() + ":" + uri.getPort());
        } catch (URISyntaxException e) {
            return false;
        }
    }
}
