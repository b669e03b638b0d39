package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Validates workspaces and their references to services and ranks. */
final class WorkspaceRules {

    private WorkspaceRules() {}

    static void check(JsonNode root, DocumentFindings findings) {
        Set<String> services = names(root.path("services"));
        Set<String> ranks = names(root.path("ranks"));
        JsonNode workspaces = root.path("workspaces");
        findings.requireUnique(workspaces, "/workspaces", "name");
        Map<String, String> keyIds = new HashMap<>();
        for (int i = 0; i < workspaces.size(); i++) {
            JsonNode workspace = workspaces.path(i);
            String pointer = "/workspaces/" + i;
            checkReferences(
                    workspace.path("services"),
                    pointer + "/services",
                    "service",
                    services,
                    findings);
            checkReferences(workspace.path("ranks"), pointer + "/ranks", "rank", ranks, findings);
            checkDefaultRank(workspace, pointer, findings);
            checkKeys(workspace.path("keys"), pointer + "/keys", keyIds, findings);
        }
    }

    private static void checkReferences(
            JsonNode names,
            String pointer,
            String kind,
            Set<String> existing,
            DocumentFindings findings) {
        for (int i = 0; i < names.size(); i++) {
            JsonNode name = names.path(i);
            if (name.isTextual() && !existing.contains(name.textValue())) {
                findings.add(
                        pointer + "/" + i, kind + " \"" + name.textValue() + "\" does not exist");
            }
        }
    }

    private static void checkDefaultRank(
            JsonNode workspace, String pointer, DocumentFindings findings) {
        JsonNode defaultRank = workspace.path("default_rank");
        if (!defaultRank.isTextual()) {
            return;
        }
        for (JsonNode rank : workspace.path("ranks")) {
            if (rank.equals(defaultRank)) {
                return;
            }
        }
        findings.add(
                pointer + "/default_rank",
                "\"" + defaultRank.textValue() + "\" is not one of the workspace's ranks");
    }

    private static void checkKeys(
            JsonNode keys, String pointer, Map<String, String> keyIds, DocumentFindings findings) {
        for (int i = 0; i < keys.size(); i++) {
            JsonNode id = keys.path(i).path("id");
            if (id.isTextual()) {
                findings.reportIfDuplicate(keyIds, id.textValue(), pointer + "/" + i + "/id");
            }
        }
    }

    private static Set<String> names(JsonNode array) {
        Set<String> names = new HashSet<>();
        array.forEach(object -> names.add(object.path("name").asText()));
        return names;
    }
}
