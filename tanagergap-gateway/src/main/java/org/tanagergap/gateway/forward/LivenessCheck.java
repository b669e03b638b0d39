package org.tanagergap.gateway.forward;

import java.time.Duration;
import org.tanagergap.api.time.Timer;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Probes an engine during a long prefill. A machine that crashes closes no connection, and the idle
 * timeout for a long prefill is too long to detect the crash. Confined to the event loop.
 */
final class LivenessCheck {

    private static final Duration INTERVAL = Duration.ofMillis(1000);

    /** Failed probes in a row after which the engine counts as unresponsive. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final ForwardingContext mContext;
    private final HostPort mAddress;
    private final Runnable mOnUnresponsive;
    private Timer mTimer = () -> {};
    private boolean mStopped;
    private int mConsecutiveFailures;

    LivenessCheck(ForwardingContext context, HostPort address, Runnable onUnresponsive) {
        mContext = context;
        mAddress = address;
        mOnUnresponsive = onUnresponsive;
    }

    void start() {
        mTimer = mContext.clock().schedule(INTERVAL, this::probe);
    }

    void stop() {
        mStopped = true;
        mTimer.cancel();
    }

    private void probe() {
        mContext.engineAdmin()
                .status(mAddress)
                .onComplete(ignored -> probeSucceeded(), ignored -> probeFailed());
    }

    private void probeSucceeded() {
        mConsecutiveFailures = 0;
        if (!mStopped) {
            start();
        }
    }

    private void probeFailed() {
        if (mStopped) {
            return;
        }
        mConsecutiveFailures++;
        if (mConsecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            mOnUnresponsive.run();
        } else {
            probe();
        }
    }
}
