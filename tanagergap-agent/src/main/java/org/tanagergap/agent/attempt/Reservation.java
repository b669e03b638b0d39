package org.tanagergap.agent.attempt;

/** Memory or concurrency that is reserved for an attempt until it is released. */
@FunctionalInterface
public interface Reservation {

    /** Releases the reservation; called exactly once. */
    void release(long outputTokens);
}
