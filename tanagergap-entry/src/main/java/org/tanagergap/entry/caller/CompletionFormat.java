package org.tanagergap.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.protocol.v1.Finished;

/** Encodes responses in the JSON format common among model engines. */
final class CompletionFormat {

    private final RequestId mId;
    private final String mModel;
    private final boolean mChat;
    private final long mCreatedSeconds;

    CompletionFormat(RequestId id, String model, boolean chat, long createdSeconds) {
        mId = id;
        mModel = model;
        mChat = chat;
        mCreatedSeconds = createdSeconds;
    }

    /** Event with one token. */
    String tokenEvent(String text) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (mChat) {
            choice.put("delta", new JsonObject().put("content", text));
        } else {
            choice.put("text", text);
        }
        return event(response(true, choice.putNull("finish_reason")));
    }

    /** Last events of a complete stream. */
    String finalEvents(Finished finished) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (mChat) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finished.getFinishReason());
        return event(response(true, choice).put("usage", usage(finished))) + "data: [DONE]\n\n";
    }

    /** Response that is not streamed. */
    JsonObject fullResponse(String text, Finished finished) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (mChat) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finished.getFinishReason());
        return response(false, choice).put("usage", usage(finished));
    }

    private JsonObject response(boolean chunk, JsonObject choice) {
        String chatKind = chunk ? "chat.completion.chunk" : "chat.completion";
        return new JsonObject()
                .put("id", mId.value())
                .put("object", mChat ? chatKind : "text_completion")
                .put("created", mCreatedSeconds)
                .put("model", mModel)
                .put("choices", new JsonArray().add(choice));
    }

    private static JsonObject usage(Finished finished) {
        return new JsonObject()
                .put("prompt_tokens", finished.getPromptTokens())
                .put("completion_tokens", finished.getOutputTokens())
                .put("total_tokens", finished.getPromptTokens() + finished.getOutputTokens())
                .put(
                        "prompt_tokens_details",
                        new JsonObject().put("cached_tokens", finished.getCachedTokens()));
    }

    private static String event(JsonObject json) {
        return "data: " + json.encode() + "\n\n";
    }
}
