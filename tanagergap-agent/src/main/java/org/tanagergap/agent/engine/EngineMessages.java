package org.tanagergap.agent.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.runtime.json.JsonNumbers;
import org.tanagergap.runtime.log.MalformedItemLog;

/** JSON messages of model engines. */
final class EngineMessages {

    private static final Set<String> FINISH_REASONS = Set.of("stop", "length");
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    private static final int SERVER_ERROR = 500;

    private static final MalformedItemLog sMalformed = new MalformedItemLog("engine");

    private EngineMessages() {}

    static JsonObject completion(EngineCompletion completion) {
        return new JsonObject()
                .put("request_id", completion.attemptId().value())
                .put("model", completion.model())
                .put("prompt", completion.prompt())
                .put("max_tokens", completion.maxTokens())
                .put("stream", true)
                .put("priority", completion.priority())
                .put("cache_salt", completion.cacheSalt())
                .put("resume_from", completion.resumeFrom())
                .put("generated_text", completion.generatedText())
                .put("parts", segments(completion.segments()));
    }

    static JsonObject prefill(SegmentPrefill prefill) {
        return new JsonObject()
                .put("request_id", prefill.attemptId().value())
                .put("model", prefill.model())
                .put("prompt", prefill.prompt())
                .put("parts", segments(prefill.segments()))
                .put("cache_salt", prefill.cacheSalt());
    }

    /**
     * Parses an event of a completion; throws a {@code DecodeException} if the JSON is not one, so
     * that an error is never taken for a token or for the end of the completion.
     */
    static EngineEvent event(String data) {
        JsonObject json = new JsonObject(data);
        if (json.getValue("error") != null) {
            throw new DecodeException("event contains an error");
        }
        String requestId = json.getString("request_id", "");
        String finishReason = json.getString("finish_reason");
        if (finishReason == null) {
            if (json.getValue("index") == null) {
                throw new DecodeException("event has neither index nor finish_reason");
            }
            return new EngineEvent.Token(
                    requestId, required(json, "index"), json.getString("text", ""));
        }
        JsonObject usage = json.getJsonObject("usage", new JsonObject());
        if (!FINISH_REASONS.contains(finishReason) || usage.getValue("completion_tokens") == null) {
            throw new DecodeException("last event has no valid finish_reason or no token count");
        }
        return new EngineEvent.Finish(
                requestId,
                finishReason,
                reported(usage, "prompt_tokens"),
                required(usage, "completion_tokens"),
                reported(usage, "cached_tokens"));
    }

    static CacheEvent cacheEvent(String data) {
        JsonObject json = new JsonObject(data);
        return new CacheEvent(
                json.containsKey("sequence") ? required(json, "sequence") : 0,
                "stored".equals(json.getString("kind")),
                json.getString("prefix_hash", ""));
    }

    /** Reads the listed runs; one without an identifier cannot be cancelled and is skipped. */
    static List<EngineRun> runs(JsonObject json) {
        List<EngineRun> runs = new ArrayList<>();
        for (Object item : json.getJsonArray("runs", new JsonArray())) {
            if (item instanceof JsonObject run
                    && run.getValue("request_id") instanceof String id
                    && !id.isEmpty()) {
                runs.add(new EngineRun(new AttemptId(id), reported(run, "memory_tokens")));
            } else {
                sMalformed.skipped("run", "it has no request_id");
            }
        }
        return runs;
    }

    /** Reads a load report; a malformed number counts as not reported. */
    static EngineLoad load(JsonObject json) {
        return new EngineLoad(
                reported(json, "memory_tokens_used"),
                reported(json, "memory_tokens_total"),
                (int) Math.min(Integer.MAX_VALUE, reported(json, "queued")),
                reported(json, "prefill_tokens_queued"),
                reported(json, "sampled_at_ms"));
    }

    static Segment segment(JsonObject json) {
        return new Segment(json.getString("handle", ""), reported(json, "tokens"));
    }

    /** Returns a number without which the rest of the message has its meaning, 0 if malformed. */
    private static long reported(JsonObject json, String field) {
        Object value = json.getValue(field);
        OptionalLong number = JsonNumbers.whole(value, 0, Long.MAX_VALUE);
        if (number.isEmpty() && json.containsKey(field)) {
            sMalformed.skipped("number " + field, "it is not a whole number from 0: " + value);
        }
        return number.orElse(0);
    }

    private static long required(JsonObject json, String field) {
        return JsonNumbers.whole(json.getValue(field), 0, Long.MAX_VALUE)
                .orElseThrow(() -> new DecodeException(field + " is not a whole number from 0"));
    }

    /**
     * Failure for a response with a status other than 200. A refusal (4xx with an error body) means
     * that nothing ran, except 409: an earlier run with the identifier of this attempt exists.
     */
    static RequestFailure failureOf(int status, Buffer body, Optional<String> retryAfter) {
        String text = "engine answered " + status;
        boolean hasErrorCode = false;
        try {
            JsonObject error = new JsonObject(body).getJsonObject("error", new JsonObject());
            hasErrorCode = error.getValue("code") != null;
            text += " " + error.getString("code", "") + ": " + error.getString("message", "");
        } catch (DecodeException | ClassCastException | NullPointerException e) {
            text += " with a body that is not an error";
        }
        if (!hasErrorCode || status == CONFLICT || status < BAD_REQUEST || status >= SERVER_ERROR) {
            return RequestFailure.of(FailureCode.UPSTREAM_FAILED, Execution.UNKNOWN, text);
        }
        FailureCode code =
                switch (status) {
                    case BAD_REQUEST -> FailureCode.MALFORMED_REQUEST;
                    case NOT_FOUND -> FailureCode.UNKNOWN_MODEL;
                    case TOO_MANY_REQUESTS -> FailureCode.OVERLOADED;
                    default -> FailureCode.UPSTREAM_FAILED;
                };
        RequestFailure failure = RequestFailure.notRun(code, text);
        return retryAfter
                .flatMap(EngineMessages::seconds)
                .map(failure::withRetryAfter)
                .orElse(failure);
    }

    /** Parses a number of seconds; empty for other values, such as a date. */
    private static Optional<Duration> seconds(String text) {
        return SECONDS.matcher(text).matches()
                ? Optional.of(Duration.ofMillis(Math.round(Double.parseDouble(text) * 1000)))
                : Optional.empty();
    }

    private static JsonArray segments(List<RemoteSegment> segments) {
        JsonArray array = new JsonArray();
        for (RemoteSegment remoteSegment : segments) {
            array.add(
                    new JsonObject()
                            .put("url", remoteSegment.url())
                            .put("handle", remoteSegment.handle()));
        }
        return array;
    }
}
