package org.tanagergap.entry.execution;

import java.util.List;
import org.tanagergap.protocol.v1.SegmentHandle;

/**
 * Memory reserved and segments prefilled for a prompt that spans several engines.
 *
 * @param holdId identifier of the memory reservation; empty for prompts that fit one engine
 * @param segments prefilled segments
 */
record SpanningPromptReservation(String holdId, List<SegmentHandle> segments) {

    static final SpanningPromptReservation NONE = new SpanningPromptReservation("", List.of());

    SpanningPromptReservation {
        segments = List.copyOf(segments);
    }
}
