package org.tanagergap.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tanagergap.decisions.fleet.EngineProfile;
import org.tanagergap.decisions.fleet.InFlightRequest;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.fleet.PlacementRequest;

/** Load that one attempt adds to its upstream and its helper engines. */
final class AttemptLoad {

    /** Prefills of at least this time are announced to peers immediately. */
    private static final double MIN_ANNOUNCED_PREFILL_MILLIS = 100;

    private final ForwardingContext mContext;
    private final List<InFlightRequest> mInFlight = new ArrayList<>();
    private Runnable mBegin = () -> {};

    AttemptLoad(ForwardingContext context) {
        mContext = context;
    }

    void begin(Placement placement, PlacementRequest request, Optional<EngineProfile> engine) {
        mContext.placements().placed(mContext.clock().nanoTime());
        mBegin = () -> add(placement, request, engine);
        mBegin.run();
    }

    private void add(
            Placement placement, PlacementRequest request, Optional<EngineProfile> engine) {
        double promptPrefillMillis =
                engine.map(e -> e.prefillMillis(request.cost().promptTokens())).orElse(0.0);
        double enginePrefillMillis = promptPrefillMillis / (1 + placement.helpers().size());
        begin(placement.upstream(), true, enginePrefillMillis, placement, request);
        for (String helper : placement.helpers()) {
            begin(helper, false, enginePrefillMillis, placement, request);
        }
        if (enginePrefillMillis >= MIN_ANNOUNCED_PREFILL_MILLIS) {
            mContext.announceLoad().run();
        }
    }

    private void begin(
            String upstream,
            boolean decodes,
            double prefillMillis,
            Placement placement,
            PlacementRequest request) {
        InFlightRequest.Demand demand =
                new InFlightRequest.Demand(
                        placement.costAt(upstream, request.cost()),
                        prefillMillis,
                        decodes,
                        request.interTokenTargetMillis(),
                        request.firstTokenSlackMillis(),
                        request.loss());
        mInFlight.add(mContext.load().begin(upstream, demand, mContext.clock().nanoTime()));
    }

    void firstToken() {
        mInFlight.forEach(InFlightRequest::firstTokenArrived);
    }

    void end() {
        mInFlight.forEach(mContext.load()::end);
        mInFlight.clear();
    }

    /** Returns the result of an action that does not count this load. */
    boolean without(BooleanSupplier action) {
        end();
        boolean result = action.getAsBoolean();
        mBegin.run();
        return result;
    }
}
