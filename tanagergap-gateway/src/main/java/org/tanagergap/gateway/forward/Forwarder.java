package org.tanagergap.gateway.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.tanagergap.decisions.fleet.LeastBusyPlacement;
import org.tanagergap.decisions.fleet.LengthAwarePlacement;
import org.tanagergap.decisions.fleet.PlacementPolicy;
import org.tanagergap.gateway.caller.CallerExchange;
import org.tanagergap.gateway.caller.CallerHandler;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.configuration.ServiceTarget;
import org.tanagergap.gateway.membership.Upstream;

/** Forwards the requests of callers to upstreams. Confined to the event loop. */
public final class Forwarder implements CallerHandler {

    private final ForwardingContext mContext;
    private final CandidateSource mCandidates;
    private final PlacementPolicy mEnginePolicy;
    private final PlacementPolicy mPlainPolicy;
    private final Map<String, Dispatcher> mDispatchers = new HashMap<>();

    public Forwarder(ForwardingContext context, RandomGenerator random) {
        mContext = context;
        mCandidates = new CandidateSource(context);
        mEnginePolicy = new LengthAwarePlacement(random);
        mPlainPolicy = new LeastBusyPlacement(random);
    }

    @Override
    public void serve(CallerExchange exchange, GatewayRequest request) {
        Dispatcher dispatcher =
                mDispatchers.computeIfAbsent(
                        request.service().name(), ignored -> dispatcher(request.service()));
        new RequestLifecycle(mContext, dispatcher, exchange, request).start();
    }

    /** Tries to place the queued requests after a change of the fleet or its load. */
    public void fleetChanged() {
        mDispatchers.values().forEach(Dispatcher::capacityChanged);
    }

    /** Places the requests again that were about to be sent to an upstream that is leaving. */
    public void upstreamUnavailable(Upstream upstream) {
        mContext.unsentAttempts().upstreamUnavailable(upstream.id());
    }

    private Dispatcher dispatcher(ServiceTarget service) {
        PlacementPolicy policy = service.engine().isPresent() ? mEnginePolicy : mPlainPolicy;
        return new Dispatcher(mContext, mCandidates, policy);
    }
}
