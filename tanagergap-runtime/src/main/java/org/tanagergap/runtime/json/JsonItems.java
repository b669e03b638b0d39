package org.tanagergap.runtime.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Splits a list in a JSON text into its items, so that each can be decoded on its own. */
public final class JsonItems {

    /** The parser skips nested values in a loop, so their depth needs no stack. */
    private static final JsonFactory sFactory =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(Integer.MAX_VALUE)
                                    .build())
                    .build();

    private JsonItems() {}

    /**
     * Returns the texts of the items of the list under the field; empty if there is no such field.
     *
     * @throws DecodeException if the text is not a JSON object or the field is not a list
     */
    public static List<Buffer> split(Buffer text, String field) {
        byte[] bytes = text.getBytes();
        try (JsonParser parser = sFactory.createParser(bytes)) {
            List<Buffer> items = new ArrayList<>();
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new DecodeException("the text is not a JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean wanted = parser.currentName().equals(field);
                if (parser.nextToken() == JsonToken.START_ARRAY && wanted) {
                    addItems(parser, bytes, items);
                } else if (wanted && parser.currentToken() != JsonToken.VALUE_NULL) {
                    throw new DecodeException("field \"" + field + "\" is not a list");
                } else {
                    parser.skipChildren();
                }
            }
            return items;
        } catch (IOException e) {
            throw new DecodeException("the text is not valid JSON: " + e.getMessage(), e);
        }
    }

    private static void addItems(JsonParser parser, byte[] bytes, List<Buffer> items)
            throws IOException {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            int start = (int) parser.currentTokenLocation().getByteOffset();
            parser.skipChildren();
            // Scalars are read to their end only with their text.
            parser.getTextLength();
            int end = (int) parser.currentLocation().getByteOffset();
            items.add(Buffer.buffer(end - start).appendBytes(bytes, start, end - start));
        }
    }
}
