package org.tanagergap.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagergap.decisions.fleet.EngineProfile;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.fleet.PlacementRequest;
import org.tanagergap.decisions.fleet.RunningWork;

/** Accounts for the work of one attempt at its upstream and its helpers. */
final class AttemptLoad {

    /** Peers should know at once of reads that take longer, in ms. */
    private static final double ANNOUNCED_READ_MILLIS = 100;

    private final ForwardingContext mParts;
    private final List<RunningWork> mWorks = new ArrayList<>();

    AttemptLoad(ForwardingContext parts) {
        mParts = parts;
    }

    void begin(Placement placement, PlacementRequest request, Optional<EngineProfile> engine) {
        double read = engine.map(e -> e.readMillis(request.cost().promptTokens())).orElse(0.0);
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
            boolean writes,
            double readMillis,
            Placement placement,
            PlacementRequest request) {
        RunningWork.Share share =
                new RunningWork.Share(
                        placement.costAt(upstream, request.cost()),
                        readMillis,
                        writes,
                        request.delicate());
        mWorks.add(mParts.load().begin(upstream, share, mParts.clock().nanoTime()));
    }

    void firstToken() {
        mWorks.forEach(RunningWork::firstToken);
    }

    void end() {
        mWorks.forEach(mParts.load()::end);
    }
}
