package org.tanagergap.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagergap.decisions.fleet.EngineProfile;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.fleet.PlacementRequest;
import org.tanagergap.decisions.fleet.RunningWork;

/** Load that one attempt adds to its upstream and its helper engines. */
final class AttemptLoad {

    /** Prefills of at least this time are announced to peers immediately. */
    private static final double MIN_ANNOUNCED_PREFILL_MILLIS = 100;

    private final ForwardingContext mContext;
    private final List<RunningWork> mInFlight = new ArrayList<>();

    AttemptLoad(ForwardingContext context) {
        mContext = context;
    }

    void begin(Placement placement, PlacementRequest request, Optional<EngineProfile> engine) {
        double promptPrefillMillis =
                engine.map(e -> e.readMillis(request.cost().promptTokens())).orElse(0.0);
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
            double readMillis,
            Placement placement,
            PlacementRequest request) {
        RunningWork.Share share =
                new RunningWork.Share(
                        placement.costAt(upstream, request.cost()),
                        readMillis,
                        decodes,
                        request.delicate());
        mInFlight.add(mContext.load().begin(upstream, share, mContext.clock().nanoTime()));
    }

    void firstToken() {
        mInFlight.forEach(RunningWork::firstToken);
    }

    void end() {
        mInFlight.forEach(mContext.load()::end);
    }
}
