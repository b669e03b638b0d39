package org.tanagergap.gateway.forward;

import java.util.List;
import java.util.Optional;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.HelperAddress;

/** Engines that help with the prompt of a placement. */
final class HelperEngines {

    private HelperEngines() {}

    /** Returns the helper engines that are still known. */
    static List<Upstream> of(FleetView view, Placement placement) {
        return placement.helpers().stream().flatMap(id -> view.upstream(id).stream()).toList();
    }

    /** Returns the addresses of helper engines on which no memory is reserved. */
    static List<HelperAddress> withoutReservation(FleetView view, Placement placement) {
        return of(view, placement).stream()
                .map(helper -> new HelperAddress(helper.address(), Optional.empty()))
                .toList();
    }
}
