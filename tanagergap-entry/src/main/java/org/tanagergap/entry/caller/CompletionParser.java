package org.tanagergap.entry.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;

/** Parses the bodies of completion requests; failures name a field by its JSON pointer. */
final class CompletionParser {

    private static final long DEFAULT_MAX_TOKENS = 256;
    private static final long MAX_TOKENS_LIMIT = 1_000_000;

    private CompletionParser() {}

    /** Parses a body; throws {@link RequestFailure} when it is not valid. */
    static ParsedCompletion parse(Buffer body, boolean chat) {
        JsonObject json = object(body);
        String model = text(json, "model", "/model");
        long maxTokens = wholeNumber(json, "max_tokens", DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT);
        // The engine's protocol supports only one response per prompt.
        wholeNumber(json, "n", 1, 1);
        boolean stream = flag(json, "stream");
        String prompt = chat ? messages(json) : text(json, "prompt", "/prompt");
        long bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return new ParsedCompletion(model, prompt, bytes, maxTokens, stream, chat);
    }

    private static JsonObject object(Buffer body) {
        try {
            if (Json.decodeValue(body) instanceof JsonObject json) {
                return json;
            }
        } catch (DecodeException e) {
            throw malformed("", "the body is not valid JSON").withCause(e);
        }
        throw malformed("", "the body must be a JSON object");
    }

    // Engines take a single text, so each message becomes a paragraph that starts with its role.
    private static String messages(JsonObject json) {
        if (!(json.getValue("messages") instanceof JsonArray messages) || messages.isEmpty()) {
            throw malformed("/messages", "messages must be a list with at least one message");
        }
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            String pointer = "/messages/" + i;
            if (!(messages.getValue(i) instanceof JsonObject message)) {
                throw malformed(pointer, "a message must be an object");
            }
            prompt.append(text(message, "role", pointer + "/role"))
                    .append(": ")
                    .append(content(message, pointer + "/content"))
                    .append("\n\n");
        }
        return prompt.append("assistant:").toString();
    }

    private static String content(JsonObject message, String pointer) {
        if (!(message.getValue("content") instanceof JsonArray parts)) {
            return text(message, "content", pointer);
        }
        StringBuilder content = new StringBuilder();
        for (int i = 0; i < parts.size(); i++) {
            String partPointer = pointer + "/" + i;
            if (!(parts.getValue(i) instanceof JsonObject part)
                    || !"text".equals(part.getValue("type"))) {
                throw malformed(partPointer, "a part of a message must be of type \"text\"");
            }
            content.append(text(part, "text", partPointer + "/text"));
        }
        return content.toString();
    }

    private static String text(JsonObject json, String name, String pointer) {
        if (json.getValue(name) instanceof String value && !value.isEmpty()) {
            return value;
        }
        throw malformed(pointer, name + " must be a text that is not empty");
    }

    private static long wholeNumber(JsonObject json, String name, long defaultValue, long max) {
        Object value = json.getValue(name);
        if (value == null) {
            return defaultValue;
        }
        if ((value instanceof Integer || value instanceof Long)
                && ((Number) value).longValue() >= 1
                && ((Number) value).longValue() <= max) {
            return ((Number) value).longValue();
        }
        throw malformed("/" + name, name + " must be a whole number from 1 to " + max);
    }

    private static boolean flag(JsonObject json, String name) {
        Object value = json.getValue(name);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw malformed("/" + name, name + " must be true or false");
    }

    // The JSON pointer of the whole document is the empty string, so failures use "body" instead.
    private static RequestFailure malformed(String pointer, String message) {
        return RequestFailure.notRun(FailureCode.MALFORMED_REQUEST, message)
                .withField(pointer.isEmpty() ? "body" : pointer);
    }
}
