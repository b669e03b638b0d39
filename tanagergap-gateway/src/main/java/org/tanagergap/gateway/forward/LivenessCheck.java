package org.tanagergap.gateway.forward;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.time.Timer;
import org.tanagergap.runtime.http.BufferedCall;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Asks an engine that reads a long prompt whether it is still there. A dead machine closes no
 * connection, and the predicted time of a long read is too long to wait for. Confined to the event
 * loop.
 */
final class LivenessCheck {

    private static final Duration INTERVAL = Duration.ofMillis(1000);
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    /** Questions in a row without an answer after which the engine counts as dead. */
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
