package org.tanagergap.gateway.peer;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.ratelimit.PermitMessages;
import org.tanagergap.gateway.forward.RateLimitGate;

/**
 * Exchanges permits for limited upstreams with the peers that issue or need them; idle while no
 * upstream has a limit. Confined to the event loop.
 */
final class PermitExchange implements Service {

    private static final Duration INTERVAL = Duration.ofMillis(50);

    /** Shortest time between two exchanges if one is needed ahead of schedule. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(20);

    private final RuntimeClock mClock;
    private final String mId;
    private final PeerDirectory mDirectory;
    private final RateLimitGate mRateLimits;
    private final PeerSocket mSocket;
    private Timer mTimer = () -> {};
    private boolean mStopped;
    private boolean mNeeded;
    private long mExchangedNanos;

    PermitExchange(
            RuntimeClock clock,
            String id,
            PeerDirectory directory,
            RateLimitGate rateLimits,
            PeerSocket socket) {
        mClock = clock;
        mId = id;
        mDirectory = directory;
        mRateLimits = rateLimits;
        mSocket = socket;
        mExchangedNanos = clock.nanoTime();
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mStopped = true;
        mTimer.cancel();
        return CompletableFuture.completedFuture(null);
    }

    /** Exchanges permits ahead of schedule. */
    void exchangeSoon() {
        if (!mNeeded) {
            mNeeded = true;
            long sinceNanos = mClock.nanoTime() - mExchangedNanos;
            schedule(Duration.ofNanos(Math.max(0, MIN_INTERVAL.toNanos() - sinceNanos)));
        }
    }

    void received(PermitMessage message) {
        if (!message.requested().isEmpty()) {
            mRateLimits.requested(message.id(), message.requested());
        }
        mRateLimits.granted(message.granted());
    }

    private void exchange() {
        mNeeded = false;
        mExchangedNanos = mClock.nanoTime();
        PermitMessages messages =
                mRateLimits.exchange(mDirectory.silence(), mDirectory.instanceCount());
        messages.requests()
                .forEach((peer, permits) -> send(peer, new PermitMessage(mId, permits, Map.of())));
        messages.grants()
                .forEach((peer, grants) -> send(peer, new PermitMessage(mId, Map.of(), grants)));
        if (!mNeeded && mRateLimits.isActive()) {
            schedule(INTERVAL);
        }
    }

    private void send(String peer, PermitMessage message) {
        mSocket.send(message, mDirectory.address(peer).stream().toList());
    }

    private void schedule(Duration delay) {
        mTimer.cancel();
        if (!mStopped) {
            mTimer = mClock.schedule(delay, this::exchange);
        }
    }
}
