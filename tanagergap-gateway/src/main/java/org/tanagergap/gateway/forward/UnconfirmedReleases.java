package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Releases of engine memory that an engine has not confirmed. A process that ends before leaves the
 * memory reserved until it expires. Confined to the event loop.
 */
public final class UnconfirmedReleases {

    private final RuntimeClock mClock;
    private final Set<ReservationRelease> mReleases = new HashSet<>();
    private final CompletableFuture<Void> mConfirmed = new CompletableFuture<>();
    private boolean mStopping;

    public UnconfirmedReleases(RuntimeClock clock) {
        mClock = clock;
    }

    void add(ReservationRelease release) {
        mReleases.add(release);
    }

    /** Removes a release that all its engines have confirmed or that is given up. */
    void remove(ReservationRelease release) {
        mReleases.remove(release);
        completeIfConfirmed();
    }

    /** Completes when all releases are confirmed, or after the timeout. */
    public CompletableFuture<Void> confirmed(Duration timeout) {
        mStopping = true;
        mClock.schedule(timeout, () -> mConfirmed.complete(null));
        completeIfConfirmed();
        return mConfirmed;
    }

    private void completeIfConfirmed() {
        if (mStopping && mReleases.isEmpty()) {
            mConfirmed.complete(null);
        }
    }
}
