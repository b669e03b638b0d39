package org.tanagergap.gateway.forward;

import java.util.List;
import java.util.Optional;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.HelperAddress;

/** What follows from a reservation for its attempt. Confined to the event loop. */
final class AttemptReservationOutcome implements HelperMemoryReservation.Outcome {

    private final UpstreamAttempt mAttempt;
    private final AttemptLoad mLoad;
    private final ProgressChecks mChecks;
    private final UpstreamAttemptListener mListener;

    AttemptReservationOutcome(
            UpstreamAttempt attempt,
            AttemptLoad load,
            ProgressChecks checks,
            UpstreamAttemptListener listener) {
        mAttempt = attempt;
        mLoad = load;
        mChecks = checks;
        mListener = listener;
    }

    @Override
    public boolean isReplaceable(Upstream helper) {
        return mLoad.without(() -> mListener.canPlaceWithout(helper.id()));
    }

    @Override
    public void reserved(List<HelperAddress> helpers) {
        mAttempt.reserved(helpers);
    }

    @Override
    public void refused(Upstream helper) {
        mAttempt.failed(
                new CallFailure(
                        CallFailure.Kind.NOT_RESERVED,
                        "memory could not be reserved at " + helper.id(),
                        Optional.of(helper.address().toString())));
    }

    @Override
    public void unused() {
        released();
        mAttempt.stalled(mChecks.silence());
    }

    @Override
    public void useEnded() {
        released();
        // What the engine has sent may not have been read yet.
        if (!mChecks.wasPaused()) {
            mAttempt.broken("no engine runs the request, and its response has not ended");
        }
    }

    /** The memory is free again, also for the next attempt. */
    private void released() {
        mLoad.end();
        mChecks.reservationReleased();
    }
}
