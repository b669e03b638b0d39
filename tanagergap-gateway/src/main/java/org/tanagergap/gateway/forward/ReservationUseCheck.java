package org.tanagergap.gateway.forward;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.ReservationState;
import org.tanagergap.runtime.http.BufferedCall;

/** Asks engines whether a request uses its reservation, as a long prefill does without events. */
final class ReservationUseCheck {

    private final ForwardingContext mContext;
    private final String mId;
    private final ReservationRecord mRecord;

    /** What the engines together report. */
    enum Result {
        /** At least one engine reports that the reservation is in use. */
        IN_USE("in use by the engines' reports"),
        /** Not in use, and the request may be in the queue of its engine. */
        WAITING("not in use by the engines' reports, and its request may be in a queue"),
        /** Not in use, and the engine of the request has an empty queue. */
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

    /**
     * Asks all engines at once; the result never fails.
     *
     * @param helpers engines with reserved memory
     * @param first engine to which the request was sent, if it was sent
     */
    Future<Result> ask(List<Upstream> helpers, Optional<Upstream> first) {
        List<Future<Optional<ReservationState>>> reports =
                helpers.stream().map(this::state).toList();
        Future<Boolean> queue = first.map(this::hasQueue).orElse(Future.succeededFuture(true));
        return Future.join(reports)
                .otherwiseEmpty()
                .compose(ignored -> queue)
                .map(mayWait -> result(reports, mayWait))
                .onSuccess(mRecord::checked);
    }

    private Future<Optional<ReservationState>> state(Upstream engine) {
        return report(engine)
                .map(response -> mContext.wire().reservationState(response.body(), mId));
    }

    /** Returns true unless the engine reports an empty queue. */
    private Future<Boolean> hasQueue(Upstream engine) {
        return report(engine)
                .map(response -> mContext.wire().queuedRequests(response.body()).orElse(1) > 0)
                .otherwise(true);
    }

    private Future<BufferedCall.Response> report(Upstream engine) {
        return mContext.engineAdmin()
                .status(engine.address())
                .onFailure(failure -> mRecord.unanswered(engine, "report", failure));
    }

    private static Result result(
            List<Future<Optional<ReservationState>>> reports, boolean mayWait) {
        List<ReservationState> states =
                reports.stream()
                        .filter(Future::succeeded)
                        .flatMap(report -> report.result().stream())
                        .toList();
        if (states.contains(ReservationState.USED)) {
            return Result.IN_USE;
        }
        if (states.size() < reports.size()) {
            return Result.UNKNOWN;
        }
        return mayWait ? Result.WAITING : Result.NOT_IN_USE;
    }
}
