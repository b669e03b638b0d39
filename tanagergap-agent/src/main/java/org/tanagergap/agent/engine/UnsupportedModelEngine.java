package org.tanagergap.agent.engine;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;

/** Model engine of an agent whose upstream is a plain service; refuses all requests as not run. */
public final class UnsupportedModelEngine implements ModelEngine {

    @Override
    public Multi<EngineEvent> complete(EngineCompletion completion) {
        return Multi.createFrom().failure(UnsupportedModelEngine::refusal);
    }

    @Override
    public Uni<Void> cancel(AttemptId attempt) {
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<List<EngineRun>> runs() {
        return Uni.createFrom().item(List.of());
    }

    @Override
    public Uni<EngineLoad> load() {
        return Uni.createFrom().failure(UnsupportedModelEngine::refusal);
    }

    @Override
    public Multi<CacheEvent> cacheEvents() {
        return Multi.createFrom().empty();
    }

    @Override
    public Uni<Segment> prefill(SegmentPrefill prefill) {
        return Uni.createFrom().failure(UnsupportedModelEngine::refusal);
    }

    @Override
    public Uni<Void> releaseSegment(String handle) {
        return Uni.createFrom().voidItem();
    }

    private static RequestFailure refusal() {
        return RequestFailure.notRun(
                FailureCode.UNKNOWN_MODEL, "the upstream is a plain service, not an engine");
    }
}
