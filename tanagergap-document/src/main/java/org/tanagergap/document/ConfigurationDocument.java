package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;

/** Reads, validates and writes configuration documents. */
public final class ConfigurationDocument {

    /** The key-value service limits values to 1 MB, which includes the stored version. */
    public static final int MAX_DOCUMENT_BYTES = 1_000_000 - 32;

    private ConfigurationDocument() {}

    /**
     * Reads a document.
     *
     * @param version version of the configuration, which documents do not contain
     * @throws InvalidInputException with all findings, each with its JSON pointer and line
     */
    public static Configuration parse(String text, long version) {
        Objects.requireNonNull(text, "text must not be null");
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_DOCUMENT_BYTES) {
            throw new InvalidInputException(
                    List.of(
                            new Finding(
                                    "(document) (line 1)",
                                    String.format(
                                            "has %d bytes; at most %d allowed",
                                            bytes, MAX_DOCUMENT_BYTES))));
        }
        DocumentSource source = DocumentSource.read(text);
        JsonNode root = source.root();
        DocumentFindings findings = new DocumentFindings(source);
        DocumentSchema.check(root, findings);
        ServiceRules.check(root, findings);
        WorkspaceRules.check(root, findings);
        RankRules.check(root, findings);
        UpstreamRules.check(root, findings);
        findings.throwIfAny();
        return ConfigurationReader.read(root, version);
    }

    /** Returns the JSON text of a configuration, without its version. */
    public static String write(Configuration configuration) {
        Objects.requireNonNull(configuration, "configuration must not be null");
        return ConfigurationWriter.write(configuration).toPrettyString() + "\n";
    }

    /** JSON schema of documents. */
    public static String schema() {
        try (InputStream text =
                ConfigurationDocument.class.getResourceAsStream(DocumentSchema.RESOURCE)) {
            return new String(text.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "reading the resource " + DocumentSchema.RESOURCE + " failed", e);
        }
    }
}
