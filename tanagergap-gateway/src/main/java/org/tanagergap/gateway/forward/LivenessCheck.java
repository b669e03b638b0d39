package org.tanagergap.gateway.forward;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.time.Timer;
import org.tanagergap.runtime.http.BufferedCall;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Probes an engine during a long prefill. A machine that crashes closes no connection, and the idle
 * timeout for a long prefill is too long to detect the crash. Confined to the event loop.
 */
final class LivenessCheck {

    private static final Duration INTERVAL = Duration.ofMillis(1000);
    private static final Duration TIMEOUT = Duration.ofMillis(500);

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
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(mAddress.host())
                        .setPort(mAddress.port())
                        .setConnectTimeout(TIMEOUT.toMillis())
                        .setURI(mContext.wire().livenessPath());
        mContext.client()
                .request(options)
                .compose(request -> BufferedCall.send(request, Optional.empty(), TIMEOUT))
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
