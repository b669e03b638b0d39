package org.tanagergap.entry.execution;

import java.util.List;
import org.tanagergap.decisions.spanning.PromptSegment;

/** Splits the text of a prompt into segments, by the estimated position of their tokens. */
final class SegmentText {

    private SegmentText() {}

    /**
     * Returns the text of one segment.
     *
     * @param prompt the whole prompt
     * @param segments all segments, in the order of their tokens
     * @param index index of the segment
     */
    static String of(RequestPayload.Completion prompt, List<PromptSegment> segments, int index) {
        int from = offset(prompt, segments.get(index).firstToken());
        boolean last = index == segments.size() - 1;
        int to =
                last
                        ? prompt.prompt().length()
                        : offset(prompt, segments.get(index + 1).firstToken());
        return prompt.prompt().substring(from, to);
    }

    /** Estimated character index of a token; never within a surrogate pair. */
    private static int offset(RequestPayload.Completion prompt, long token) {
        String text = prompt.prompt();
        long tokens = Math.max(1, prompt.cost().promptTokens());
        int offset = (int) (text.length() * token / tokens);
        boolean splitsPair =
                offset > 0
                        && offset < text.length()
                        && Character.isLowSurrogate(text.charAt(offset))
                        && Character.isHighSurrogate(text.charAt(offset - 1));
        return splitsPair ? offset + 1 : offset;
    }
}
