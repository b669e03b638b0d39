package org.tanagergap.entry.caller;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.testing.MutatedText;

/** Guards against bodies that end in another failure than a refusal with its reason. */
class CompletionParserFuzzTests {

    private static final String BODY =
            "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":7,\"n\":1,\"stream\":true,"
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"p\"},{\"role\":\"user\","
                    + "\"content\":[{\"type\":\"text\",\"text\":\"p\"}]}]}";

    @Property(seed = "3401", tries = 5_000)
    void aMutatedBodyIsParsedOrRefused(@ForAll long seed, @ForAll boolean chat) {
        MutatedText mutated = new MutatedText(new Random(seed));
        String text = seed % 2 == 0 ? mutated.values(BODY) : mutated.characters(BODY);
        try {
            ParsedCompletion parsed = CompletionParser.parse(Buffer.buffer(text), chat);
            assertThat(parsed.maxTokens()).isAtLeast(1);
            assertThat(parsed.prompt()).isNotEmpty();
        } catch (RequestFailure e) {
            assertThat(e.code()).isEqualTo(FailureCode.MALFORMED_REQUEST);
            assertThat(e.execution()).isEqualTo(Execution.NOT_RUN);
        }
    }
}
