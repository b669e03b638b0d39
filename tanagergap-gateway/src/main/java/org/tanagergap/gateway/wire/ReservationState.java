package org.tanagergap.gateway.wire;

/** State of a memory reservation as its engine reports it. */
public enum ReservationState {
    /** Waits for free memory. */
    WAITING,
    /** The memory is reserved, and no request uses it. */
    UNUSED,
    /** A request uses the memory. */
    USED
}
