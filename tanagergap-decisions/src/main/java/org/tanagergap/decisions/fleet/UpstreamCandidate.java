package org.tanagergap.decisions.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * Upstream that could serve a request now.
 *
 * @param id identifier of the upstream
 * @param slots number of requests that it processes at once
 * @param engine cost model; empty for a plain service
 * @param load load from all instances at the upstream
 * @param delayMillis one-way delay to its failure domain, in ms
 * @param slowness observed time to the first token relative to the prediction; 1 when as predicted
 * @param rateLimited whether the upstream advertises a rate limit because it is short of capacity
 */
public record UpstreamCandidate(
        String id,
        int slots,
        Optional<EngineProfile> engine,
        UpstreamLoad load,
        double delayMillis,
        double slowness,
        boolean rateLimited) {

    public UpstreamCandidate {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(engine, "engine must not be null");
        Objects.requireNonNull(load, "load must not be null");
    }
}
