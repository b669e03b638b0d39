package org.tanagergap.runtime.json;

import io.vertx.core.spi.JsonFactory;
import io.vertx.core.spi.json.JsonCodec;

/** Makes Vert.x decode all JSON with {@link BoundedJsonCodec}; found by the service loader. */
public final class BoundedJsonFactory implements JsonFactory {

    private static final JsonCodec CODEC = new BoundedJsonCodec();

    @Override
    public int order() {
        return 0;
    }

    @Override
    public JsonCodec codec() {
        return CODEC;
    }
}
