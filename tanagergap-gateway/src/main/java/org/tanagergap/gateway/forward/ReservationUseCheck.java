package org.tanagergap.gateway.forward;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.ReservationState;

/** Asks engines whether a request uses its reservation, as a long prefill does without events. */
final class ReservationUseCheck {

    private final ForwardingContext mContext;
    private final String mId;
    private final ReservationRecord mRecord;

    /** What the engines together report. */
    enum Result {
        /** At least one engine reports that the reservation is in use. */
        IN_USE("in use by the engines' reports"),
        /** All engines report the reservation, and none that it is in use. */
        NOT_IN_USE("not in use by the engines' reports"),
        /** An engine has not reported the reservation, and none that it is in use. */
        UNKNOWN("not reported by all engines");

        private final String mDescription;

        Result(String description) {
            mDescription = description;
        }

        String description() {
            return mDescription;
        }
    }

    /**
     * Creates a check.
     *
     * @param id identifier of the reservation
     */
    ReservationUseCheck(ForwardingContext context, String id, ReservationRecord record) {
        mContext = context;
        mId = id;
        mRecord = record;
    }

    /** Asks all engines at once; the result never fails. */
    Future<Result> ask(List<Upstream> engines) {
        List<Future<Optional<ReservationState>>> reports = engines.stream().map(this::ask).toList();
        return Future.join(reports)
                .transform(ignored -> Future.succeededFuture(result(reports)))
                .onSuccess(mRecord::checked);
    }

    private Future<Optional<ReservationState>> ask(Upstream engine) {
        return mContext.engineAdmin()
                .status(engine.address())
                .map(response -> mContext.wire().reservationState(response.body(), mId))
                .onFailure(failure -> mRecord.unanswered(engine, "report", failure));
    }

    private static Result result(List<Future<Optional<ReservationState>>> reports) {
        List<ReservationState> states =
                reports.stream()
                        .filter(Future::succeeded)
                        .flatMap(report -> report.result().stream())
                        .toList();
        if (states.contains(ReservationState.USED)) {
            return Result.IN_USE;
        }
        return states.size() == reports.size() ? Result.NOT_IN_USE : Result.UNKNOWN;
    }
}
