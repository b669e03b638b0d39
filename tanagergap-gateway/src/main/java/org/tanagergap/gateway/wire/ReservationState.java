package org.tanagergap.gateway.wire;

/** State of a memory reservation as its engine reports it. */
public enum ReservationState {
    /** Waits for free memory. */
    WAITING("waiting"),
    /** The memory is reserved, and no request uses it. */
    UNUSED("not in use"),
    /** A request uses the memory. */
    USED("in use");

    private final String mDescription;

    ReservationState(String description) {
        mDescription = description;
    }

    /** Text for log lines. */
    public String description() {
        return mDescription;
    }
}
