package org.tanagergap.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagergap.decisions.fleet.EngineProfile;
import org.tanagergap.decisions.fleet.InFlightRequest;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.fleet.PlacementRequest;

/** Accounts for the work of one attempt at its upstream and its helpers. */
final class PlacedWork {

    /** Peers should know at once of reads that take longer, in ms. */
    private static final double ANNOUNCED_READ_MILLIS = 100;

    private final ForwardingParts mParts;
    private final List<InFlightRequest> mWorks = new ArrayList<>();

    PlacedWork(ForwardingParts parts) {
        mParts = parts;
    }

    void begin(Placement placement, PlacementRequest request, Optional<EngineProfile> engine) {
        double read = engine.map(e -> e.prefillMillis(request.cost().promptTokens())).orElse(0.0);
        double part = read / (1 + placement.helpers().size());
        begin(placement.upstream(), true, part, placement, request);
        for (String helper : placement.helpers()) {
            begin(helper, false, part, placement, request);
        }
        if (part >= ANNOUNCED_READ_MILLIS) {
            mParts.announce().run();
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
                        request.isLatencySensitive());
        mWorks.add(mParts.load().begin(upstream, demand, mParts.clock().nanoTime()));
    }

    void firstToken() {
        mWorks.forEach(InFlightRequest::firstTokenArrived);
    }

    void end() {
        mWorks.forEach(mParts.load()::end);
    }
}
