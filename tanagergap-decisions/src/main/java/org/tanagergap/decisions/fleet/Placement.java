package org.tanagergap.decisions.fleet;

import java.util.List;
import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/**
 * Where a request runs.
 *
 * @param upstream upstream that receives the request
 * @param helpers further upstreams that read parts of the prompt
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

    /** Tokens that the request needs at one of its upstreams, with what is reserved there. */
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
