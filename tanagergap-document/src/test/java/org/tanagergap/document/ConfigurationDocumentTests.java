package org.tanagergap.document;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;

class ConfigurationDocumentTests {

    private static final ObjectMapper sMapper = new ObjectMapper();

    static String example(String name) {
        try {
            return Files.readString(Path.of("..", "examples", name + ".json"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the findings of the local example after an edit. */
    private static List<Finding> findingsAfter(Consumer<ObjectNode> edit) {
        try {
            ObjectNode root = (ObjectNode) sMapper.readTree(example("local"));
            edit.accept(root);
            return findings(root.toPrettyString());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<Finding> findings(String text) {
        return assertThrows(InvalidInputException.class, () -> ConfigurationDocument.parse(text, 1))
                .findings();
    }

    @Nested
    class Examples {

        @ParameterizedTest
        @CsvSource({"kapakon,23,10", "huon-shea,18,10", "local,4,2"})
        void areValidAndUnchangedByARoundTrip(String name, int upstreams, int workspaces) {
            Configuration configuration = ConfigurationDocument.parse(example(name), 7);
            assertThat(configuration.version()).isEqualTo(7);
            assertThat(configuration.upstreams()).hasSize(upstreams);
            assertThat(configuration.workspaces()).hasSize(workspaces);
            assertThat(configuration.ranks()).hasSize(3);
            String written = ConfigurationDocument.write(configuration);
            assertThat(ConfigurationDocument.parse(written, 7)).isEqualTo(configuration);
        }

        @Test
        void localExampleHasTheDemonstrationKeys() throws NoSuchAlgorithmException {
            KeyDefinition key =
                    ConfigurationDocument.parse(example("local"), 1)
                            .workspace("lidmaker-one")
                            .orElseThrow()
                            .keys()
                            .get(0);
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(HexFormat.of().parseHex(key.salt()));
            byte[] hash = digest.digest("secret-one".getBytes(StandardCharsets.UTF_8));
            assertThat(key.id()).isEqualTo("demo-one");
            assertThat(key.hash()).isEqualTo(HexFormat.of().formatHex(hash));
        }
    }

    @Nested
    class Refuses {

        /** Guards against missing or additional findings when an edit violates a single rule. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "/services/1|model|\"m2\"|/services/1/model",
                    "/services/1|max_prompt_tokens|5|/services/1/max_prompt_tokens",
                    "/services/0|max_prompt_tokens|1200001|/services/0/max_prompt_tokens",
                    "/services/0|max_prompt_tokens|0|/services/0/max_prompt_tokens",
                    "/services/0|note|1|/services/0/note",
                    "/services/0|kind|\"other\"|/services/0/kind",
                    "/services/1/operations/0|path_prefix|\"x\"|/services/1/operations/0",
                    "/workspaces/0|weight|0|/workspaces/0/weight",
                    "/workspaces/0|name|\"lidmaker-two\"|/workspaces/1/name",
                    "/workspaces/0|name|\"a b\"|/workspaces/0/name",
                    "/workspaces/0|name|\"a\\n\"|/workspaces/0/name",
                    "/workspaces/0|services|[\"gone\"]|/workspaces/0/services/0",
                    "/workspaces/0|ranks|[\"urgent\"]|/workspaces/0/default_rank",
                    "/workspaces/0/keys/0|id|\"demo-two\"|/workspaces/1/keys/0/id",
                    "/workspaces/0/keys/0|salt|\"xyz\"|/workspaces/0/keys/0/salt",
                    "/workspaces/0/keys/0|hash|\"00\"|/workspaces/0/keys/0/hash",
                    "/ranks/0|floor_percent|66|/ranks (line",
                    "/ranks/1|priority|0|/ranks/1/priority",
                    "/ranks/1|default_deadline_ms|600001|/ranks/1/default_deadline_ms",
                    "/upstreams/1|name|\"engine-a\"|/upstreams/1/name",
                    "/upstreams/3|service|\"gone\"|/upstreams/3/service",
                    "/upstreams/3|memory_tokens|7|/upstreams/3/memory_tokens",
                    "/upstreams/3|concurrency|0|/upstreams/3/concurrency",
                    "/upstreams/0|concurrency|1|/upstreams/0/concurrency",
                    "/upstreams/1|agent_address|\"127.0.0.1:7101\"|/upstreams/1/agent_address"
                })
        void aBrokenRule(String object, String field, String value, String location)
                throws JsonProcessingException {
            var broken = sMapper.readTree(value);
            List<Finding> findings =
                    findingsAfter(root -> ((ObjectNode) root.at(object)).set(field, broken));
            assertThat(findings).hasSize(1);
            assertThat(findings.get(0).location()).startsWith(location);
        }

        @Test
        void aServiceNameUsedTwice() {
            List<Finding> findings =
                    findingsAfter(
                            root ->
                                    ((ArrayNode) root.path("services"))
                                            .add(root.at("/services/1").deepCopy()));
            assertThat(findings).hasSize(1);
            assertThat(findings.get(0).location()).startsWith("/services/2/name");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"host", ":1", "host:", "host:0", "host:65536", "a b:1", "u@h:1", "h:1/"})
        void anAddressThatIsNotHostAndPort(String address) {
            List<Finding> findings =
                    findingsAfter(
                            root ->
                                    ((ObjectNode) root.at("/upstreams/0"))
                                            .put("agent_address", address));
            assertThat(findings).hasSize(1);
            assertThat(findings.get(0).location()).startsWith("/upstreams/0/agent_address");
        }

        @Test
        void everythingTogetherWithPointersAndLines() {
            List<Finding> findings =
                    findings(
                            """
                            {"services": [{"name": "s", "kind": "plain"}],
                             "extra": 1,
                             "workspaces": [],
                             "ranks": [
                               {"name": "r", "priority": 1, "floor_percent": 101,
                                "default_deadline_ms": 1, "max_deadline_ms": 1}],
                             "upstreams": [{"name": "u",
                               "service": "t", "failure_domain": "f",
                               "agent_address": "h:1"}]}
                            """);
            assertThat(findings.stream().map(Finding::location))
                    .containsExactly(
                            "/extra (line 2)",
                            "/ranks/0/floor_percent (line 5)",
                            "/ranks (line 4)",
                            "/upstreams/0/service (line 8)");
        }

        @Test
        void missingFieldsAtTheirPointer() {
            List<Finding> findings = findingsAfter(root -> root.remove("ranks"));
            assertThat(findings.get(0).location()).startsWith("/ranks (line 1)");
        }

        /** Duplicate fields are refused because parsers differ in which of the two they keep. */
        @ParameterizedTest
        @ValueSource(strings = {"", "{", "{\"ranks\": [],\n \"ranks\": []}", "{} {}", "null", "[]"})
        void textThatIsNotOneJsonObject(String text) {
            assertThat(findings(text)).isNotEmpty();
        }

        /** Guards against a document that passes validation but exceeds the key-value limit. */
        @Test
        void aDocumentOverOneMegabyte() {
            String text = example("local") + " ".repeat(ConfigurationDocument.MAX_DOCUMENT_BYTES);
            assertThat(findings(text)).hasSize(1);
        }
    }

    @Nested
    class Differences {

        @Test
        void areReportedByPointerAndNameAndIgnoreOrder() throws JsonProcessingException {
            ObjectNode root = (ObjectNode) sMapper.readTree(example("local"));
            ArrayNode upstreams = (ArrayNode) root.path("upstreams");
            upstreams.add(upstreams.remove(0));
            upstreams.remove(0);
            ((ObjectNode) root.at("/workspaces/0")).put("weight", 5);
            assertThat(
                            ConfigurationDiff.between(example("local"), root.toString()).stream()
                                    .map(change -> change.toString().split("\\{")[0]))
                    .containsExactly(
                            "/workspaces/0/weight workspaces[lidmaker-one].weight: 1 -> 5",
                            "/upstreams/1 upstreams[engine-b]: ")
                    .inOrder();
        }

        /** Guards against salts and hashes that reach logs and browsers. */
        @Test
        void neverShowSaltsOrHashes() throws JsonProcessingException {
            ObjectNode root = (ObjectNode) sMapper.readTree(example("local"));
            String hash = root.at("/workspaces/0/keys/0/hash").asText();
            ((ObjectNode) root.at("/workspaces/0/keys/0")).put("hash", "00");
            ((ArrayNode) root.path("workspaces")).remove(1);
            String shown = ConfigurationDiff.between(example("local"), root.toString()).toString();
            assertThat(shown).contains("keys[demo-one].hash");
            assertThat(shown).contains("lidmaker-two");
            assertThat(shown).doesNotContain(hash);
            assertThat(shown).doesNotContainMatch("[0-9a-f]{32}");
        }
    }
}
