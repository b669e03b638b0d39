package org.tanagergap.runtime.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.netty.buffer.ByteBufInputStream;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.jackson.JacksonCodec;
import java.io.IOException;
import java.io.InputStream;

/**
 * Decodes JSON like the codec of Vert.x, but rejects deep nesting with a {@link DecodeException}.
 * That codec calls itself for each level, so that the library's bound of 1,000 levels overflows a
 * small stack.
 */
final class BoundedJsonCodec extends JacksonCodec {

    /** 500 levels overflowed a stack of 256 KiB; messages of the system have fewer than 10. */
    static final int MAX_NESTING = 64;

    private static final JsonFactory sFactory =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
                    .configure(JsonReadFeature.ALLOW_JAVA_COMMENTS, true)
                    .build();

    @Override
    public <T> T fromString(String text, Class<T> type) {
        return fromParser(parser(text), type);
    }

    @Override
    public <T> T fromBuffer(Buffer buffer, Class<T> type) {
        return fromParser(parser(buffer), type);
    }

    @Override
    public Object fromString(String text) {
        return fromString(text, Object.class);
    }

    @Override
    public Object fromBuffer(Buffer buffer) {
        return fromBuffer(buffer, Object.class);
    }

    private static JsonParser parser(String text) {
        try {
            return sFactory.createParser(text);
        } catch (IOException e) {
            throw new DecodeException("Failed to decode: " + e.getMessage(), e);
        }
    }

    private static JsonParser parser(Buffer buffer) {
        try {
            // Reads the bytes in place; a copy of a full read of the store has up to 16 MB.
            InputStream bytes = new ByteBufInputStream(((BufferInternal) buffer).getByteBuf());
            return sFactory.createParser(bytes);
        } catch (IOException e) {
            throw new DecodeException("Failed to decode: " + e.getMessage(), e);
        }
    }
}
