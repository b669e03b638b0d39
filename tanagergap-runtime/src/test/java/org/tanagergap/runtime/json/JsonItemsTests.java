package org.tanagergap.runtime.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one malformed item that makes the whole list unreadable. */
class JsonItemsTests {

    private static List<String> items(String text) {
        return JsonItems.split(Buffer.buffer(text), "items").stream()
                .map(Buffer::toString)
                .toList();
    }

    @Test
    void everyItemKeepsItsText() {
        assertThat(items("{\"a\":[1],\"items\":[ {\"é\":[1,{}]} ,\"x\\\"y\", 7 ,null,[ ],1e400]}"))
                .containsExactly("{\"é\":[1,{}]}", "\"x\\\"y\"", "7", "null", "[ ]", "1e400")
                .inOrder();
        assertThat(items("{\"items\":null}")).isEmpty();
        assertThat(items("{}")).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 900, 5_000, 1_000_000})
    void deepNestingOverflowsNoSmallStack(int depth) throws Exception {
        String nested = "{\"a\":[".repeat(depth) + "]}".repeat(depth);
        String[] last = new String[1];
        Thread thread =
                new Thread(
                        null,
                        () ->
                                last[0] =
                                        items("{\"b\":" + nested + ",\"items\":[" + nested + ",7]}")
                                                .get(1),
                        "small-stack",
                        256 << 10);
        thread.start();
        thread.join();

        assertThat(last[0]).isEqualTo("7");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "7", "{", "{\"items\":7}", "{\"items\":[1", "{\"items\":[1}"})
    void otherTextsAreRejected(String text) {
        assertThrows(DecodeException.class, () -> items(text));
    }
}
