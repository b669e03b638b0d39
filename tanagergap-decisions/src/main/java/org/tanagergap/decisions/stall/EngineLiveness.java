package org.tanagergap.decisions.stall;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides from the probes of an engine during a prefill whether it has lost the request. A probe
 * without a response does not show that: an engine may respond to nothing for a while and go on.
 * Not thread-safe.
 */
public final class EngineLiveness {

    /** Failed probes in a row after which a verdict is given. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /**
     * Longest silence while memory on other engines is reserved. Platforms demand that memory is
     * released within 4 s after its request has ended, as it does when an engine crashes.
     */
    static final Duration MAX_SILENCE_WITH_RESERVATION = Duration.ofMillis(2500);

    private boolean mHoldsReservation;
    private int mConsecutiveFailures;
    private int mConsecutiveRefusals;
    private Optional<Long> mFirstFailureNanos = Optional.empty();

    /** Result of a probe. */
    public enum Probe {
        /** The engine has responded and has not restarted, or it has closed the connection. */
        ALIVE,
        /** The engine has responded and has started after the request was sent. */
        RESTARTED,
        /** Nothing listens at the address of the engine. */
        REFUSED,
        /** The engine has neither responded nor closed the connection. */
        NO_RESPONSE
    }

    /** What the probes show so far. */
    public enum Verdict {
        /** The engine responds, or too few probes have failed. */
        ALIVE,
        /** The engine does not respond and may go on later. */
        STALLED,
        /** The engine has lost the request, or its memory may be reserved no longer. */
        LOST
    }

    /**
     * Creates a decision without probes.
     *
     * @param holdsReservation whether memory on other engines is reserved for the request
     */
    public EngineLiveness(boolean holdsReservation) {
        mHoldsReservation = holdsReservation;
    }

    /**
     * Records the result of a probe.
     *
     * @param sentNanos time at which the probe was sent
     * @param nowNanos time of the result
     */
    public Verdict probed(Probe probe, long sentNanos, long nowNanos) {
        if (probe == Probe.RESTARTED) {
            return Verdict.LOST;
        }
        if (probe == Probe.ALIVE) {
            responded();
            return Verdict.ALIVE;
        }
        mConsecutiveFailures++;
        mConsecutiveRefusals = probe == Probe.REFUSED ? mConsecutiveRefusals + 1 : 0;
        if (mFirstFailureNanos.isEmpty()) {
            mFirstFailureNanos = Optional.of(sentNanos);
        }
        return verdict(nowNanos - mFirstFailureNanos.get());
    }

    /** Records data of the request, which shows as much as a response to a probe. */
    public void responded() {
        mConsecutiveFailures = 0;
        mConsecutiveRefusals = 0;
        mFirstFailureNanos = Optional.empty();
    }

    /** Records that no memory on other engines is reserved for the request any more. */
    public void reservationReleased() {
        mHoldsReservation = false;
    }

    /** Number of probes in a row that have failed. */
    public int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    private Verdict verdict(long silentNanos) {
        if (mConsecutiveRefusals >= MAX_CONSECUTIVE_FAILURES) {
            return Verdict.LOST;
        }
        if (mHoldsReservation && silentNanos >= MAX_SILENCE_WITH_RESERVATION.toNanos()) {
            return Verdict.LOST;
        }
        return mConsecutiveFailures >= MAX_CONSECUTIVE_FAILURES ? Verdict.STALLED : Verdict.ALIVE;
    }
}
