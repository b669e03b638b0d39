package org.tanagergap.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses JSON requests into engine requests. */
final class RequestParser {

    private final EngineSettings mSettings;

    RequestParser(EngineSettings settings) {
        mSettings = settings;
    }

    /** Request for a completion over the imported segments. */
    EngineRequest completion(JsonObject json, List<ImportedSegment> imported) {
        return parse(json, imported, json.getLong("max_tokens", 16L), Optional.empty());
    }

    /** Request for the prefill of a segment. */
    EngineRequest segment(JsonObject json, List<ImportedSegment> imported, String handle) {
        return parse(json, imported, 0, Optional.of(handle));
    }

    private EngineRequest parse(
            JsonObject json,
            List<ImportedSegment> imported,
            long maxTokens,
            Optional<String> handle) {
        String prompt = json.getString("prompt", "");
        String salt = json.getString("cache_salt", "");
        long digest = PromptDigest.EMPTY;
        long importedTokens = 0;
        for (ImportedSegment segment : imported) {
            digest = segment.digest();
            importedTokens += segment.tokens();
        }
        // The KV cache of these blocks depends on the segments before them, so it is not shared.
        List<Long> blocks = imported.isEmpty() ? blockHashes(prompt) : List.of();
        return new EngineRequest(
                json.getString("request_id", ""),
                tokens(prompt),
                PromptDigest.append(digest, prompt),
                maxTokens,
                json.getInteger("priority", 0),
                salt,
                blocks,
                json.getLong("resume_from", 0L),
                importedTokens,
                handle);
    }

    /** Addresses of the segments that a request imports, in order. */
    static List<SegmentAddress> segmentAddresses(JsonObject json) {
        List<SegmentAddress> segmentAddresses = new ArrayList<>();
        JsonArray array = json.getJsonArray("parts", new JsonArray());
        for (int i = 0; i < array.size(); i++) {
            JsonObject segmentJson = array.getJsonObject(i);
            segmentAddresses.add(
                    new SegmentAddress(
                            segmentJson.getString("url"), segmentJson.getString("handle")));
        }
        return segmentAddresses;
    }

    private long tokens(String prompt) {
        int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return Math.max(1, (long) Math.ceil(bytes / mSettings.bytesPerToken()));
    }

    private List<Long> blockHashes(String prompt) {
        int blockChars = (int) (PrefixCache.BLOCK_TOKENS * mSettings.bytesPerToken());
        List<Long> hashes = new ArrayList<>();
        long hash = PromptDigest.EMPTY;
        for (int end = blockChars; end <= prompt.length(); end += blockChars) {
            hash = PromptDigest.append(hash, prompt.substring(end - blockChars, end));
            hashes.add(hash);
        }
        return hashes;
    }
}
