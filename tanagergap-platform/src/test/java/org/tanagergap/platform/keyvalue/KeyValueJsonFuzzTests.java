package org.tanagergap.platform.keyvalue;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.runtime.log.MalformedItemLog;
import org.tanagergap.testing.MutatedText;

/** Guards against replies and events that end in another exception than their callers handle. */
class KeyValueJsonFuzzTests {

    private static final String KV =
            "{\"key\":\"YQ==\",\"value\":\"Yg==\",\"mod_revision\":\"7\","
                    + "\"create_revision\":\"3\"}";

    private final MalformedItemLog mMalformed = new MalformedItemLog("test");

    @Property(seed = "3201", tries = 5_000)
    void aMutatedMessageIsReadOrRejected(@ForAll long seed) {
        MutatedText mutated = new MutatedText(new Random(seed));
        String reply = "{\"header\":{\"revision\":\"9\"},\"succeeded\":true,\"kvs\":[" + KV + "]}";
        String events = "{\"events\":[{\"kv\":" + KV + "},{\"kv\":" + KV + "}]}";
        try {
            JsonObject json = new JsonObject(mutated.values(reply));
            KeyValueJson.keyValues(json);
            KeyValueJson.transactionResult(json);
        } catch (DecodeException | ClassCastException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
        try {
            KeyValueJson.changes(new JsonObject(mutated.values(events)), mMalformed);
        } catch (DecodeException | ClassCastException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    @Property(seed = "3202", tries = 2_000)
    void aMutatedEventHidesNoNeighbour(@ForAll long seed) {
        String event = "{\"kv\":" + KV + "}";
        String mutated = new MutatedText(new Random(seed)).values(event);
        JsonObject message;
        try {
            message = new JsonObject("{\"events\":[" + mutated + "," + event + "]}");
        } catch (DecodeException e) {
            // Nested too deeply: the whole message is rejected and the watch is opened again.
            return;
        }
        assertThat(KeyValueJson.changes(message, mMalformed))
                .contains(new KeyValue("a", "b", 7, 3));
    }
}
