package org.tanagergap.decisions.fleet;

import java.util.List;
import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/**
 * Upstreams chosen for a request.
 *
 * @param upstream upstream that receives the request
 * @param helpers helper engines, each of which prefills a part of the prompt
 * @param reservedTokensPerHelper memory to reserve on each helper, in tokens; 0 when none is needed
 * @param firstTokenMillis predicted time to the first token, in ms
 */
public record Placement(
        String upstream,
        List<String> helpers,
        long reservedTokensPerHelper,
        double firstTokenMillis) {

    public Placement {
        Objects.requireNonNull(upstream, "upstream must not be null");
        helpers = List.copyOf(helpers);
    }

    /**
     * Returns the part of the request's cost that falls on one of its upstreams, with reservations.
     */
    public RequestCost costAt(String id, RequestCost cost) {
        if (reservedTokensPerHelper == 0) {
            return id.equals(upstream) ? cost : new RequestCost(0, 0);
        }
        long reserved = reservedTokensPerHelper * helpers.size();
        return id.equals(upstream)
                ? new RequestCost(cost.promptTokens() - reserved, cost.maxOutputTokens())
                : new RequestCost(reservedTokensPerHelper, 0);
    }
}
