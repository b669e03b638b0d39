package org.tanagergap.agent.engine;

import java.util.List;
import org.tanagergap.api.request.AttemptId;

/**
 * Request to compute the KV cache of a segment.
 *
 * @param attemptId the engine's request identifier
 * @param model name of the model
 * @param prompt text of the segment
 * @param segments preceding segments, in order
 * @param cacheSalt separates the cached prefixes of workspaces
 */
public record SegmentPrefill(
        AttemptId attemptId,
        String model,
        String prompt,
        List<RemoteSegment> segments,
        String cacheSalt) {

    public SegmentPrefill {
        segments = List.copyOf(segments);
    }
}
