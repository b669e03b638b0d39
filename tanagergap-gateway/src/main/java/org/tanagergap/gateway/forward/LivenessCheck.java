package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.tanagergap.api.time.Timer;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.http.BufferedCall;

/**
 * Probes an engine during a long prefill. A machine that crashes closes no connection, and the idle
 * timeout for a long prefill is too long to detect the crash. Confined to the event loop.
 */
final class LivenessCheck {

    private static final Duration INTERVAL = Duration.ofMillis(1000);

    /** Failed probes in a row after which the engine counts as unresponsive. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final ForwardingContext mContext;
    private final Upstream mEngine;
    private final Consumer<String> mOnLost;
    private Timer mTimer = () -> {};
    private boolean mStopped;
    private int mConsecutiveFailures;

    /**
     * Creates a check that is not started.
     *
     * @param onLost receives the reason when the engine has lost its requests
     */
    LivenessCheck(ForwardingContext context, Upstream engine, Consumer<String> onLost) {
        mContext = context;
        mEngine = engine;
        mOnLost = onLost;
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
                .status(mEngine.address())
                .onComplete(this::probeSucceeded, ignored -> probeFailed());
    }

    private void probeSucceeded(BufferedCall.Response response) {
        mConsecutiveFailures = 0;
        if (mStopped) {
            return;
        }
        if (hasRestarted(response)) {
            mOnLost.accept("the engine has restarted");
        } else {
            start();
        }
    }

    /** An engine that restarts between two probes leaves its connections open. */
    private boolean hasRestarted(BufferedCall.Response response) {
        OptionalLong startedAt = mContext.wire().startedAtMillis(response.body());
        return mEngine.hasStartTime()
                && startedAt.isPresent()
                && startedAt.getAsLong() != mEngine.startedAtMillis();
    }

    private void probeFailed() {
        if (mStopped) {
            return;
        }
        mConsecutiveFailures++;
        if (mConsecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            mOnLost.accept("the engine no longer answers");
        } else {
            probe();
        }
    }
}
