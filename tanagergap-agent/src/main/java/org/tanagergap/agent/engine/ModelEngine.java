package org.tanagergap.agent.engine;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;

/**
 * Model engine on which the agent runs completions. Failures are {@code RequestFailure}s whose
 * execution is {@code NOT_RUN} only if the engine cannot have received the request or refused it
 * before running.
 */
public interface ModelEngine {

    /** Streams a completion; cancelling the subscription closes the connection. */
    Multi<EngineEvent> complete(EngineCompletion completion);

    /** Cancels a run; also succeeds if the engine has no such run. */
    Uni<Void> cancel(AttemptId attempt);

    /** Lists the runs that occupy memory. */
    Uni<List<EngineRun>> runs();

    /** Reads the load report, which lags behind the engine's current load. */
    Uni<EngineLoad> load();

    /** Streams the changes of the prefix cache until the connection ends. */
    Multi<CacheEvent> cacheEvents();

    /** Computes the KV cache of a segment and stores it until it is released. */
    Uni<Segment> prefill(SegmentPrefill prefill);

    /** Releases the KV cache of a segment; also succeeds if the engine has no such segment. */
    Uni<Void> releaseSegment(String handle);
}
