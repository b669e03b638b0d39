package org.tanagergap.state.intent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.testing.MutatedText;

/** Guards against a stored record that ends the reader with an error. */
class IntentRecordJsonFuzzTests {

    private static final IntentKey KEY = new IntentKey("orders", "w", "k");
    private static final AttemptId ATTEMPT = new AttemptId("a1");
    private static final String RECORD =
            IntentRecordJson.encode(
                    new IntentRecord(
                            "n",
                            7,
                            List.of(
                                    new IntentEvent.Intent(KEY, "h", ATTEMPT, 9),
                                    new IntentEvent.Outcome(
                                            KEY,
                                            ATTEMPT,
                                            new RecordedResponse(200, "t", Optional.of("b"))),
                                    new IntentEvent.Abandonment(KEY, ATTEMPT))));

    @Property(seed = "3301", tries = 5_000)
    void aMutatedRecordIsReadOrRejected(@ForAll long seed) {
        MutatedText mutated = new MutatedText(new Random(seed));
        String text = seed % 2 == 0 ? mutated.values(RECORD) : mutated.characters(RECORD);
        boolean hasNonce = IntentRecordJson.hasNonce(text);
        try {
            IntentRecord record = IntentRecordJson.decode("orders", text);
            assertThat(hasNonce).isTrue();
            assertThat(record.nonce()).isNotNull();
        } catch (RuntimeException e) {
            // The reader skips or refuses it; an error would leave its round without an end.
            assertThat(e).isNotNull();
        }
    }
}
