package org.tanagergap.runtime.json;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against numbers that are silently changed to others. */
class JsonNumbersTests {

    private static OptionalLong whole(String number) {
        return JsonNumbers.whole(new JsonObject("{\"n\":" + number + "}").getValue("n"), 0, 100);
    }

    @ParameterizedTest
    @ValueSource(strings = {"7", "7.0", "0.7e1"})
    void wholeNumbersOfEveryNotationAreRead(String number) {
        assertThat(whole(number)).isEqualTo(OptionalLong.of(7));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "-1",
                "101",
                "1e400",
                "-1e400",
                "9999999999999999999999",
                "1.5",
                "\"7\"",
                "null"
            })
    void otherValuesAreRefused(String number) {
        assertThat(whole(number)).isEqualTo(OptionalLong.empty());
    }
}
