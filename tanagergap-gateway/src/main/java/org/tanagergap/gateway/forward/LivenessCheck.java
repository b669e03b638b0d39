package org.tanagergap.gateway.forward;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.time.Timer;
import org.tanagergap.runtime.http.ShortCall;
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
    private static final int MAX_UNANSWERED = 2;

    private final ForwardingContext mParts;
    private final HostPort mAddress;
    private final Runnable mOnDead;
    private Timer mTimer = () -> {};
    private boolean mStopped;
    private int mUnanswered;

    LivenessCheck(ForwardingContext parts, HostPort address, Runnable onDead) {
        mParts = parts;
        mAddress = address;
        mOnDead = onDead;
    }

    void start() {
        mTimer = mParts.clock().schedule(INTERVAL, this::ask);
    }

    void stop() {
        mStopped = true;
        mTimer.cancel();
    }

    private void ask() {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(mAddress.host())
                        .setPort(mAddress.port())
                        .setConnectTimeout(TIMEOUT.toMillis())
                        .setURI(mParts.wire().livenessPath());
        mParts.client()
                .request(options)
                .compose(request -> ShortCall.send(request, Optional.empty(), TIMEOUT))
                .onComplete(ignored -> answered(), ignored -> unanswered());
    }

    private void answered() {
        mUnanswered = 0;
        if (!mStopped) {
            start();
        }
    }

    private void unanswered() {
        if (mStopped) {
            return;
        }
        mUnanswered++;
        if (mUnanswered >= MAX_UNANSWERED) {
            mOnDead.run();
        } else {
            ask();
        }
    }
}
