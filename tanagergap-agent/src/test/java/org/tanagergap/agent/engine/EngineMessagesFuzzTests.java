package org.tanagergap.agent.engine;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.testing.MutatedText;

/** Guards against messages of an engine that end in another exception than the agent handles. */
class EngineMessagesFuzzTests {

    private static final String TOKEN = "{\"request_id\":\"a\",\"index\":3,\"text\":\"t\"}";
    private static final String FINISH =
            "{\"request_id\":\"a\",\"finish_reason\":\"stop\",\"usage\":{\"prompt_tokens\":1,"
                    + "\"completion_tokens\":2,\"cached_tokens\":3}}";
    private static final String CACHE =
            "{\"sequence\":3,\"kind\":\"stored\",\"prefix_hash\":\"p\"}";
    private static final String RUN = "{\"request_id\":\"a\",\"memory_tokens\":5}";
    private static final String LOAD =
            "{\"memory_tokens_used\":1,\"memory_tokens_total\":2,\"queued\":3,"
                    + "\"prefill_tokens_queued\":4,\"sampled_at_ms\":5}";
    private static final String ERROR =
            "{\"error\":{\"code\":\"queue_full\",\"message\":\"later\"}}";

    @Property(seed = "3601", tries = 5_000)
    void aMutatedEventIsReadOrRejected(@ForAll long seed) {
        MutatedText mutated = new MutatedText(new Random(seed));
        for (String text : new String[] {TOKEN, FINISH}) {
            try {
                EngineEvent event =
                        EngineMessages.event(
                                seed % 2 == 0 ? mutated.values(text) : mutated.characters(text));
                if (event instanceof EngineEvent.Token token) {
                    assertThat(token.index()).isAtLeast(0);
                }
            } catch (DecodeException | ClassCastException e) {
                assertThat(e).hasMessageThat().isNotEmpty();
            }
        }
        try {
            EngineMessages.cacheEvent(mutated.values(CACHE));
        } catch (DecodeException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    @Property(seed = "3602", tries = 5_000)
    void aMutatedRunHidesNoNeighbour(@ForAll long seed) {
        String mutated = new MutatedText(new Random(seed)).values(RUN);
        JsonObject json;
        try {
            json =
                    new JsonObject(
                            "{\"runs\":["
                                    + mutated
                                    + ",{\"request_id\":\"good\",\"memory_tokens\":7}]}");
        } catch (DecodeException e) {
            // Nested too deeply: the whole list of this engine is read again later.
            return;
        }
        assertThat(EngineMessages.runs(json)).contains(new EngineRun(new AttemptId("good"), 7));
    }

    @Property(seed = "3603", tries = 5_000)
    void aMutatedLoadReportHasNoNegativeNumbers(@ForAll long seed) {
        EngineLoad load;
        try {
            load =
                    EngineMessages.load(
                            new JsonObject(new MutatedText(new Random(seed)).values(LOAD)));
        } catch (DecodeException e) {
            return;
        }
        assertThat(load.memoryTokensTotal()).isAtLeast(0);
        assertThat(load.queued()).isAtLeast(0);
    }

    @Property(seed = "3604", tries = 5_000)
    void aMutatedErrorAlwaysHasAFailure(@ForAll long seed) {
        MutatedText mutated = new MutatedText(new Random(seed));
        String text = seed % 2 == 0 ? mutated.values(ERROR) : mutated.characters(ERROR);
        assertThat(
                        EngineMessages.failureOf(429, Buffer.buffer(text), Optional.empty())
                                .getMessage())
                .isNotEmpty();
    }
}
