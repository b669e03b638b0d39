package org.tanagergap.runtime.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BoundedJsonTests {

    private static final long SMALL_STACK_BYTES = 256 << 10;

    private static String objects(int depth) {
        return "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
    }

    private static String arrays(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    /** Runs the action on a stack of the size with which deployments start their programs. */
    private static List<Throwable> failuresOnSmallStack(Runnable action) throws Exception {
        List<Throwable> failures = new ArrayList<>();
        Thread thread = new Thread(null, action, "small-stack", SMALL_STACK_BYTES);
        thread.setUncaughtExceptionHandler((t, failure) -> failures.add(failure));
        thread.start();
        thread.join();
        return failures;
    }

    @Test
    void nestedObjectsAreRejectedBeforeTheyOverflowASmallStack() throws Exception {
        for (int depth : List.of(65, 500, 990, 1_000_000)) {
            List<Throwable> failures =
                    failuresOnSmallStack(() -> new JsonObject(objects(depth)).size());
            assertThat(failures).hasSize(1);
            assertThat(failures.get(0)).isInstanceOf(DecodeException.class);
        }
    }

    @Test
    void nestedArraysAreRejectedBeforeTheyOverflowASmallStack() throws Exception {
        for (int depth : List.of(65, 700, 990, 1_000_000)) {
            List<Throwable> failures =
                    failuresOnSmallStack(() -> new JsonArray(Buffer.buffer(arrays(depth))).size());
            assertThat(failures).hasSize(1);
            assertThat(failures.get(0)).isInstanceOf(DecodeException.class);
        }
    }

    @Test
    void everyWayToDecodeHasTheBound() {
        String text = arrays(65);
        assertThrows(DecodeException.class, () -> Json.decodeValue(text));
        assertThrows(DecodeException.class, () -> Json.decodeValue(Buffer.buffer(text)));
        assertThrows(DecodeException.class, () -> Buffer.buffer(text).toJsonArray());
        assertThrows(
                DecodeException.class, () -> Buffer.buffer("{\"a\":" + text + "}").toJsonObject());
    }

    @Test
    void messagesWithinTheBoundAreDecoded() throws Exception {
        JsonObject json = new JsonObject(objects(64));
        assertThat(new JsonObject(json.toBuffer())).isEqualTo(json);
        assertThat(failuresOnSmallStack(() -> new JsonObject(objects(64)).encode())).isEmpty();
        assertThat(new JsonArray(arrays(64))).hasSize(1);
    }

    @Test
    void aNumberWithAMillionDigitsIsRejected() {
        String text = "{\"a\":" + "9".repeat(1_000_000) + "}";
        assertThrows(DecodeException.class, () -> new JsonObject(text));
    }

    @Test
    void malformedTextsAreRejectedWithADecodeException() {
        byte[] invalidUtf8 = {'{', '"', (byte) 0xC3, '"', ':', '1', '}'};
        assertThrows(DecodeException.class, () -> new JsonObject(Buffer.buffer(invalidUtf8)));
        for (String text : List.of("", " ", "{", "{\"a\":1}{}", "nul", "{\"a\":\"\u0001\"}")) {
            assertThrows(DecodeException.class, () -> new JsonObject(text));
            assertThrows(DecodeException.class, () -> new JsonObject(Buffer.buffer(text)));
        }
    }
}
