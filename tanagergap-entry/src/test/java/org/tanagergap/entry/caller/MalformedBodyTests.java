package org.tanagergap.entry.caller;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;

/** Guards against bodies that end in another failure than a refusal with its reason. */
class MalformedBodyTests {

    private static void assertRefused(Buffer body) throws Exception {
        List<Throwable> failures = new ArrayList<>();
        for (boolean chat : List.of(true, false)) {
            Thread thread =
                    new Thread(null, () -> CompletionParser.parse(body, chat), "small", 256 << 10);
            thread.setUncaughtExceptionHandler((t, failure) -> failures.add(failure));
            thread.start();
            thread.join();
        }
        assertThat(failures).hasSize(2);
        for (Throwable failure : failures) {
            assertThat(failure).isInstanceOf(RequestFailure.class);
            RequestFailure refusal = (RequestFailure) failure;
            assertThat(refusal.code()).isEqualTo(FailureCode.MALFORMED_REQUEST);
            assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 900, 5_000, 1_000_000})
    void aDeeplyNestedBodyIsRefused(int depth) throws Exception {
        String nested = "{\"a\":[".repeat(depth) + "]}".repeat(depth);
        assertRefused(Buffer.buffer(nested));
        assertRefused(
                Buffer.buffer("{\"model\":\"m\",\"prompt\":\"p\",\"messages\":" + nested + "}"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"1e400", "9999999999999999999999", "-1", "0", "NaN", "\"7\"", "{}", "1.5"})
    void aLimitOfTokensThatIsNoSuchNumberIsRefused(String number) throws Exception {
        assertRefused(
                Buffer.buffer(
                        "{\"model\":\"m\",\"prompt\":\"p\",\"messages\":"
                                + "[{\"role\":\"user\",\"content\":\"p\"}],\"max_tokens\":"
                                + number
                                + "}"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "7", "[]", "\"x\"", "{", "{}", "{\"model\":7}"})
    void aBodyOfAnotherFormIsRefused(String body) throws Exception {
        assertRefused(Buffer.buffer(body));
    }
}
