package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.LengthBand;

/**
 * Priority of work inside the engine; lower values run first. Long prompts run after all others,
 * whatever their rank, so that short work is not slowed down. Among the others, the more urgent
 * rank is first and, within a rank, the short prompt. The scheduler keeps the floors of ranks under
 * this rule by delaying work that would run before a rank below its floor.
 */
public final class EnginePriority {

    private static final int LONG_OFFSET = 1_000_000;
    private static final int BANDS = 2;
    private static final int MAX_RANK_PRIORITY = LONG_OFFSET / BANDS - 1;

    private EnginePriority() {}

    /** Returns the priority of a prompt of the band under a rank of the given priority. */
    public static int of(int rankPriority, LengthBand band) {
        int rank = Math.max(0, Math.min(MAX_RANK_PRIORITY, rankPriority));
        return switch (band) {
            case SHORT -> rank * BANDS;
            case MEDIUM -> rank * BANDS + 1;
            case LONG -> LONG_OFFSET + rank;
        };
    }

    /** Returns the priority of an item. */
    public static int of(WorkItem item) {
        return of(item.policy().rankPriority(), item.lengthBand());
    }
}
