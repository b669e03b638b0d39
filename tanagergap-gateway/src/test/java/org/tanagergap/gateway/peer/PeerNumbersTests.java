package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the handler of datagrams against numbers whose sums or nanoseconds overflow. */
final class PeerNumbersTests {

    private static final List<String> MALFORMED =
            List.of("1e400", "-1e400", "9999999999999999999999", "null", "\"1\"", "{}", "[]");

    /** Texts of a datagram in each of which one number is replaced. */
    private static List<String> withEachNumberReplaced(Buffer datagram, String replacement) {
        List<String> texts = new ArrayList<>();
        int numbers = numbers(datagram.toJsonObject(), -1);
        for (int i = 0; i < numbers; i++) {
            JsonObject json = datagram.toJsonObject();
            numbers(json, i);
            texts.add(json.encode().replace("\"REPLACED\"", replacement));
        }
        return texts;
    }

    /** Counts the numbers of an object or array and replaces the one with the index. */
    private static int numbers(Object container, int index) {
        int count = 0;
        if (container instanceof JsonObject object) {
            for (String field : List.copyOf(object.fieldNames())) {
                Object value = object.getValue(field);
                if (value instanceof Number) {
                    if (count++ == index) {
                        object.put(field, "REPLACED");
                    }
                } else {
                    count += numbers(value, index - count);
                }
            }
        } else if (container instanceof JsonArray array) {
            for (int i = 0; i < array.size(); i++) {
                Object value = array.getValue(i);
                if (value instanceof Number) {
                    if (count++ == index) {
                        array.set(i, "REPLACED");
                    }
                } else {
                    count += numbers(value, index - count);
                }
            }
        }
        return count;
    }

    @Test
    void aDatagramWithANumberOutOfRangeIsRejected() {
        List<String> accepted = new ArrayList<>();
        for (Buffer datagram :
                List.of(SampleDatagrams.REPORT.encode(), SampleDatagrams.PERMITS.encode())) {
            for (String number : MALFORMED) {
                for (String text : withEachNumberReplaced(datagram, number)) {
                    if (PeerDatagram.decode(Buffer.buffer(text)).isPresent()) {
                        accepted.add(text);
                    }
                }
            }
        }

        assertThat(accepted).isEmpty();
    }

    @Test
    void deeplyNestedDatagramsAreRejected() {
        String nested = "{\"a\":".repeat(900) + "1" + "}".repeat(900);

        assertThat(PeerDatagram.decode(Buffer.buffer(nested)).isPresent()).isFalse();
    }
}
