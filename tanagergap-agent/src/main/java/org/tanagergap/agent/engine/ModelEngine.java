package org.tanagergap.agent.engine;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;

/**
 * Model engine beside the agent. Failures are {@code RequestFailure}s whose execution says {@code
 * NOT_RUN} only when the engine certainly never got the request or refused it before running.
 */
public interface ModelEngine {

    /** Streams a completion; cancelling the subscription closes the connection. */
    Multi<EngineEvent> complete(EngineCompletion completion);

    /** Cancels a run; succeeds when the engine does not know it. */
    Uni<Void> cancel(AttemptId attempt);

    /** Lists the runs that hold memory. */
    Uni<List<EngineRun>> runs();

    /** Reads the load report, which lags. */
    Uni<EngineLoad> load();

    /** Follows changes of the prefix cache until the connection ends. */
    Multi<CacheEvent> cacheEvents();

    /** Computes and holds the KV cache of a segment. */
    Uni<Segment> prefill(SegmentPrefill prefill);

    /** Releases the KV cache of a segment; succeeds when the engine does not know it. */
    Uni<Void> releaseSegment(String handle);
}
