package org.tanagergap.endtoend;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.tanagergap.standins.engine.PromptDigest;

/** Extracts the text of streamed completions and computes the text expected for a prompt. */
final class CompletionTexts {

    private CompletionTexts() {}

    /** Concatenates the text of all events of a streamed completion. */
    static String text(String events) {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                JsonArray choices =
                        new JsonObject(line.substring("data: ".length()))
                                .getJsonArray("choices", new JsonArray());
                if (!choices.isEmpty()) {
                    text.append(choices.getJsonObject(0).getString("text", ""));
                }
            }
        }
        return text.toString();
    }

    /** Computes the text that every stand-in engine generates for a prompt. */
    static String expectedText(String prompt, int tokens) {
        long digest = PromptDigest.append(PromptDigest.EMPTY, prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(PromptDigest.outputToken(digest, i));
        }
        return text.toString();
    }
}
