package org.tanagergap.decisions.stall;

/** What follows when nothing has arrived on an attempt for its idle timeout. */
public enum StallDecision {

    /** Another attempt starts beside the silent one. */
    STARTED_ANOTHER("another attempt starts beside it"),

    /** Another open attempt is not silent. */
    ANOTHER_RUNS("another attempt is running"),

    /** The request may not run again, or its stream cannot be resumed. */
    NOT_REPEATABLE("the request may not be sent again"),

    /** Every other upstream is full, suspended or has failed for this request. */
    NO_UPSTREAM("no other upstream can take the request"),

    /** The retry budget is spent. */
    NO_BUDGET("the retry budget is spent");

    private final String mDescription;

    StallDecision(String description) {
        mDescription = description;
    }

    /** Text for log lines. */
    public String description() {
        return mDescription;
    }
}
