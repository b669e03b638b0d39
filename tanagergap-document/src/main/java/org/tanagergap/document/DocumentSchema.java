package org.tanagergap.document;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** Validates documents against the published JSON schema. */
final class DocumentSchema {

    static final String RESOURCE = "configuration.schema.json";

    private static final Schema SCHEMA = load();

    private DocumentSchema() {}

    static void check(JsonNode root, DocumentFindings findings) {
        for (Error error : SCHEMA.validate(root)) {
            findings.add(pointer(error), error.getMessage());
        }
    }

    /** Points to the missing or unknown field itself instead of the enclosing object. */
    private static String pointer(Error error) {
        String pointer = error.getInstanceLocation().toString();
        if (error.getProperty() == null) {
            return pointer;
        }
        return pointer + JsonPointer.empty().appendProperty(error.getProperty());
    }

    private static Schema load() {
        try (InputStream text = DocumentSchema.class.getResourceAsStream(RESOURCE)) {
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(text);
        } catch (IOException e) {
            throw new UncheckedIOException("reading the resource " + RESOURCE + " failed", e);
        }
    }
}
