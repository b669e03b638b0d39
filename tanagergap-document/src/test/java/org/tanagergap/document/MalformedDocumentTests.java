package org.tanagergap.document;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.finding.InvalidInputException;

/** Guards against documents that end in another failure than findings. */
class MalformedDocumentTests {

    /** Parses and compares on a stack of the size with which deployments start their programs. */
    private static List<Throwable> failures(String text) throws Exception {
        List<Throwable> failures = new ArrayList<>();
        for (Runnable action :
                List.<Runnable>of(
                        () -> ConfigurationDocument.parse(text, 1),
                        () -> ConfigurationDiff.between(text, "{}"))) {
            Thread thread = new Thread(null, action, "small", 256 << 10);
            thread.setUncaughtExceptionHandler((t, failure) -> failures.add(failure));
            thread.start();
            thread.join();
        }
        return failures;
    }

    private static void assertFindings(String text) throws Exception {
        for (Throwable failure : failures(text)) {
            assertThat(failure).isInstanceOf(InvalidInputException.class);
        }
        assertThat(failures(text)).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {65, 500, 900, 990, 5_000, 100_000})
    void deepNestingCausesFindings(int depth) throws Exception {
        String objects = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
        String arrays = "[".repeat(depth) + "]".repeat(depth);
        assertFindings(objects);
        assertFindings(arrays);
        assertFindings("{\"services\":[{\"name\":" + arrays + "}]}");
        assertFindings("{\"upstreams\":[" + objects + "]}");
        assertFindings("{\"services\":" + objects + "}");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "1e400",
                "-1e400",
                "1e999999999",
                "9999999999999999999999",
                "9223372036854775808",
                "-1",
                "4294967297",
                "0.5"
            })
    void numbersOutOfRangeCauseFindings(String number) throws Exception {
        String example = ConfigurationDocumentTests.example("local");
        for (String field :
                List.of(
                        "weight",
                        "priority",
                        "floor_percent",
                        "default_deadline_ms",
                        "max_deadline_ms",
                        "max_prompt_tokens",
                        "memory_tokens")) {
            String edited =
                    example.replaceFirst(
                            "\"" + field + "\": *[0-9]+", "\"" + field + "\":" + number);
            assertWithMessage(field).that(edited).isNotEqualTo(example);
            assertFindings(edited);
        }
    }

    @Test
    void aNumberWithManyDigitsCausesFindings() throws Exception {
        assertFindings("{\"services\":" + "9".repeat(100_000) + "}");
    }
}
