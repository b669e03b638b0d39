package org.tanagergap.gateway.peer;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.platform.keyvalue.LeasedStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;
import org.tanagergap.runtime.async.Futures;

/** Registers this instance in the store under a lease, so that its peers find it. */
public final class PeerRegistration implements Service {

    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(8);
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(2500);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final LeasedStore mStore;
    private final String mKey;
    private final String mValue;
    private OptionalLong mLease = OptionalLong.empty();
    private boolean mStopped;
    private boolean mRenewing;
    private boolean mRegisterAgain;
    private Timer mTimer = () -> {};

    public PeerRegistration(RuntimeClock clock, LeasedStore store, String id, String value) {
        mClock = clock;
        mStore = store;
        mKey = PeerDirectory.KEY_PREFIX + id;
        mValue = value;
    }

    @Override
    public CompletableFuture<Void> start() {
        renew();
        return CompletableFuture.completedFuture(null);
    }

    /** Stops the renewal; the registration expires with its lease. */
    @Override
    public CompletableFuture<Void> stop() {
        mStopped = true;
        mTimer.cancel();
        return CompletableFuture.completedFuture(null);
    }

    /** Registers again: the store has lost the lease and may grant its number to another client. */
    public void storeRestored() {
        mLease = OptionalLong.empty();
        if (mRenewing) {
            mRegisterAgain = true;
        } else {
            mTimer.cancel();
            renew();
        }
    }

    private void renew() {
        if (mStopped) {
            return;
        }
        mRenewing = true;
        CompletableFuture<Void> renewed =
                mLease.isPresent() ? mStore.keepLeaseAlive(mLease.getAsLong()) : register();
        renewed.whenComplete((ignored, failure) -> renewalCompleted(failure));
    }

    private void renewalCompleted(Throwable failure) {
        mRenewing = false;
        if (failure != null) {
            sLogger.atInfo().log(
                    "registration %s was not renewed: %s",
                    mKey, Futures.rootFailure(failure).getMessage());
        }
        if (failure != null || mRegisterAgain) {
            mLease = OptionalLong.empty();
        }
        Duration delay = mRegisterAgain ? Duration.ZERO : RENEWAL_INTERVAL;
        mRegisterAgain = false;
        mTimer = mClock.schedule(delay, this::renew);
    }

    private CompletableFuture<Void> register() {
        return mStore.grantLease(TIME_TO_LIVE)
                .thenCompose(
                        lease -> {
                            Write put = new Write.Put(mKey, mValue, OptionalLong.of(lease));
                            return mStore.commit(new Transaction(List.of(), List.of(put)))
                                    .thenAccept(ignored -> mLease = OptionalLong.of(lease));
                        });
    }
}
