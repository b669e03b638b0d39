package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.gateway.membership.PeerChanges;
import org.tanagergap.platform.keyvalue.KeyValue;

/** Guards the local replica against items of a peer that lack a key or have no revision. */
final class PeerReplicaClientTests {

    private static final String VALID =
            "{\"epoch\":1,\"revision\":7,\"all_items\":true,\"items\":[[\"k\",\"v\",6,5]]}";

    private static boolean accepted(String response) {
        try {
            PeerReplicaClient.decode(Buffer.buffer(response));
            return true;
        } catch (RuntimeException e) {
            return false;
        }
    }

    @Test
    void malformedResponsesAreRejected() {
        List<String> accepted = new ArrayList<>();
        for (String item :
                List.of(
                        "null",
                        "[]",
                        "{}",
                        "[null,\"v\",6,5]",
                        "[\"k\",null,6,5]",
                        "[7,\"v\",6,5]",
                        "[\"k\",{},6,5]",
                        "[\"k\",\"v\",null,5]",
                        "[\"k\",\"v\",1e400,5]",
                        "[\"k\",\"v\",-6,5]",
                        "[\"k\",\"v\",6,9999999999999999999999]")) {
            String response = VALID.replace("[\"k\",\"v\",6,5]", item);
            if (accepted(response)) {
                accepted.add(response);
            }
        }
        for (String number : List.of("null", "1e400", "-1", "\"7\"", "9999999999999999999999")) {
            for (String field : List.of("\"epoch\":1", "\"revision\":7")) {
                String name = field.substring(0, field.indexOf(':') + 1);
                String response = VALID.replace(field, name + number);
                if (accepted(response)) {
                    accepted.add(response);
                }
            }
        }

        assertThat(accepted).isEmpty();
    }

    @Test
    void aResponseIsDecoded() {
        assertThat(PeerReplicaClient.decode(Buffer.buffer(VALID)))
                .isEqualTo(
                        new PeerChanges(
                                List.of(new KeyValue("k", "v", 6, 5)),
                                new StorePosition(1, 7),
                                true));
    }
}
