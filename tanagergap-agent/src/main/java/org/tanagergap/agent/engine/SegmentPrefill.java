package org.tanagergap.agent.engine;

import java.util.List;
import org.tanagergap.api.request.AttemptId;

/**
 * Request to compute the KV cache of a segment.
 *
 * @param attemptId the engine's request identifier
 * @param model name of the model
 * @param prompt text of the segment
 * @param parts preceding segments, in order
 * @param cacheSalt separates the cached prefixes of workspaces
 */
public record SegmentPrefill(
        AttemptId attemptId,
        String model,
        String prompt,
        List<EnginePart> parts,
        String cacheSalt) {

    public SegmentPrefill {
        parts = List.copyOf(parts);
    }
}
