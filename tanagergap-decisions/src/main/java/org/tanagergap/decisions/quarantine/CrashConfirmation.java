package org.tanagergap.decisions.quarantine;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides from repeated probes whether an engine that lost a connection has crashed. A probe
 * without a response does not show that, because a running engine may be silent for a while. Not
 * thread-safe.
 */
public final class CrashConfirmation {

    /**
     * Longest silence of a running engine. A running engine may be silent for a second or so, and
     * this is more than twice that; a machine that crashed or was cut off is silent for good.
     */
    static final Duration MAX_SILENCE = Duration.ofSeconds(3);

    private final long mStartNanos;

    /** Result of a probe. */
    public enum Probe {
        /** The engine accepts connections and has not restarted. */
        RUNNING,
        /** Nothing listens at the address of the engine, or it has restarted. */
        GONE,
        /** The engine has neither responded nor closed the connection. */
        SILENT
    }

    /** What the probes show so far. */
    public enum Verdict {
        /** The engine runs; it lost only a connection. */
        RUNNING,
        /** The engine has crashed. */
        CRASHED,
        /** Another probe is needed. */
        UNDECIDED
    }

    /**
     * Creates a decision without probes.
     *
     * @param nowNanos time at which the first probe is sent
     */
    public CrashConfirmation(long nowNanos) {
        mStartNanos = nowNanos;
    }

    /** Returns what the result of a probe shows. */
    public Verdict probed(Probe probe, long nowNanos) {
        return switch (Objects.requireNonNull(probe, "probe must not be null")) {
            case RUNNING -> Verdict.RUNNING;
            case GONE -> Verdict.CRASHED;
            case SILENT ->
                    nowNanos - mStartNanos >= MAX_SILENCE.toNanos()
                            ? Verdict.CRASHED
                            : Verdict.UNDECIDED;
        };
    }
}
