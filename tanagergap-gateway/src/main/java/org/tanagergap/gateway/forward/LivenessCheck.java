package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.function.Consumer;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.stall.EngineLiveness;
import org.tanagergap.decisions.stall.EngineLiveness.Probe;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.http.BufferedCall;

/**
 * Probes an engine during a long prefill. A machine that crashes closes no connection, and the idle
 * timeout for a long prefill is too long to detect the crash. Confined to the event loop.
 */
final class LivenessCheck {

    private static final Duration INTERVAL = Duration.ofMillis(1000);

    /** Applies after the first two failed probes, which follow each other immediately. */
    private static final Duration INTERVAL_WHILE_STALLED = Duration.ofMillis(250);

    private static final int MAX_IMMEDIATE_REPEATS = 1;

    private final ForwardingContext mContext;
    private final Upstream mEngine;
    private final Consumer<String> mOnLost;
    private final Consumer<Duration> mOnStall;
    private final Runnable mOnResponse;
    private final EngineLiveness mLiveness;
    private Timer mTimer = () -> {};
    private boolean mStopped;
    private long mLastResponseNanos;

    /**
     * Creates a check that is not started.
     *
     * @param holdsReservation whether memory on other engines is reserved for the request
     * @param onLost receives the reason when the engine has lost its requests
     * @param onStall receives the time since its last response when the engine does not respond
     * @param onResponse called when the engine responds to a probe
     */
    LivenessCheck(
            ForwardingContext context,
            Upstream engine,
            boolean holdsReservation,
            Consumer<String> onLost,
            Consumer<Duration> onStall,
            Runnable onResponse) {
        mContext = context;
        mEngine = engine;
        mOnLost = onLost;
        mOnStall = onStall;
        mOnResponse = onResponse;
        mLiveness = new EngineLiveness(holdsReservation);
    }

    void start() {
        mLastResponseNanos = now();
        schedule(INTERVAL);
    }

    void stop() {
        mStopped = true;
        mTimer.cancel();
    }

    /** Records that data of the request has arrived. */
    void dataArrived() {
        mLiveness.responded();
        mLastResponseNanos = now();
    }

    /** Records that no memory on other engines is reserved for the request any more. */
    void reservationReleased() {
        mLiveness.reservationReleased();
    }

    private void schedule(Duration delay) {
        mTimer = mContext.clock().schedule(delay, this::probe);
    }

    private void probe() {
        long sent = now();
        mContext.engineAdmin()
                .status(mEngine.address())
                .onComplete(
                        response -> probed(result(response), sent),
                        failure -> probed(result(failure), sent));
    }

    private void probed(Probe probe, long sentNanos) {
        if (mStopped) {
            return;
        }
        long now = now();
        switch (mLiveness.probed(probe, sentNanos, now)) {
            case LOST -> mOnLost.accept(reason(probe));
            case STALLED -> {
                schedule(INTERVAL_WHILE_STALLED);
                mOnStall.accept(Duration.ofNanos(now - mLastResponseNanos));
            }
            case ALIVE -> {
                if (probe == Probe.ALIVE) {
                    mLastResponseNanos = now;
                    schedule(INTERVAL);
                    mOnResponse.run();
                } else {
                    schedule(repeatDelay());
                }
            }
        }
    }

    private Duration repeatDelay() {
        return mLiveness.consecutiveFailures() <= MAX_IMMEDIATE_REPEATS
                ? Duration.ZERO
                : INTERVAL_WHILE_STALLED;
    }

    /** An engine that restarts between two probes leaves its connections open. */
    private Probe result(BufferedCall.Response response) {
        boolean restarted = mContext.engineAdmin().hasRestarted(mEngine, response);
        return restarted ? Probe.RESTARTED : Probe.ALIVE;
    }

    private static Probe result(Throwable failure) {
        if (EngineAdminClient.isRefused(failure)) {
            return Probe.REFUSED;
        }
        // A running engine closes connections beyond its limit.
        return EngineAdminClient.isSilent(failure) ? Probe.NO_RESPONSE : Probe.ALIVE;
    }

    private static String reason(Probe probe) {
        return probe == Probe.RESTARTED
                ? "the engine has restarted"
                : "the engine no longer answers";
    }

    private long now() {
        return mContext.clock().nanoTime();
    }
}
