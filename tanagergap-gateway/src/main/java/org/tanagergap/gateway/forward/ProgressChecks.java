package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.stall.IdleTimeout;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Checks of one attempt for progress: the time without an event and, for an engine whose first
 * event may take long, probes of the engine. Confined to the event loop.
 */
final class ProgressChecks {

    /** The engine is probed during prefills that are predicted to take longer than this. */
    private static final double MIN_CHECKED_PREFILL_MILLIS = 1_000;

    private final ForwardingContext mContext;
    private final IdleCheck mIdleCheck;
    private Optional<LivenessCheck> mLiveness = Optional.empty();
    private boolean mWasPaused;

    /**
     * Creates checks that are not started.
     *
     * @param onStall receives the time for which nothing has arrived
     */
    ProgressChecks(ForwardingContext context, IdleTimeout timeout, Consumer<Duration> onStall) {
        mContext = context;
        mIdleCheck = new IdleCheck(context.clock(), timeout, onStall);
    }

    /** Returns the time without an event after which an attempt has stalled. */
    static IdleTimeout idleTimeout(RequestLifecycle lifecycle, Placement placement) {
        return new IdleTimeout(
                lifecycle.isStream(),
                lifecycle.request().route().latencyTarget(),
                lifecycle.request().route().interTokenTarget(),
                placement.firstTokenMillis());
    }

    /** Starts the check of the time without an event. */
    void startIdleCheck() {
        mIdleCheck.start();
    }

    /**
     * Starts to probe the engine during long prefills and while memory is reserved on helper
     * engines.
     *
     * @param onLost receives the reason when the engine has lost its requests
     * @param onStall receives the time since its last response when the engine does not respond
     * @param onResponse called when the engine responds to a probe
     */
    void startProbes(
            Upstream engine,
            boolean hasReservation,
            double firstTokenMillis,
            Consumer<String> onLost,
            Consumer<Duration> onStall,
            Runnable onResponse) {
        if (hasReservation || firstTokenMillis > MIN_CHECKED_PREFILL_MILLIS) {
            LivenessCheck check =
                    new LivenessCheck(
                            mContext, engine, hasReservation, onLost, onStall, onResponse);
            mLiveness = Optional.of(check);
            check.start();
        }
    }

    /**
     * Records an event.
     *
     * @return time since the previous one
     */
    Duration eventArrived() {
        mLiveness.ifPresent(LivenessCheck::dataArrived);
        return mIdleCheck.eventArrived();
    }

    /** Records that no memory on other engines is reserved for the request any more. */
    void reservationReleased() {
        mLiveness.ifPresent(LivenessCheck::reservationReleased);
    }

    /** Time since the last event or the start. */
    Duration silence() {
        return mIdleCheck.silence();
    }

    /** Leaves out the time in which the caller reads too slowly. */
    void pause() {
        mWasPaused = true;
        mIdleCheck.pause();
    }

    /** Returns true if events may be read long after they were sent. */
    boolean wasPaused() {
        return mWasPaused;
    }

    void resume() {
        mIdleCheck.resume();
    }

    void stopProbes() {
        mLiveness.ifPresent(LivenessCheck::stop);
    }

    void stop() {
        mIdleCheck.stop();
        stopProbes();
    }
}
