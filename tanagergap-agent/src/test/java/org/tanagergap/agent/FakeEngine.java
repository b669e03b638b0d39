package org.tanagergap.agent;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.agent.engine.CacheEvent;
import org.tanagergap.agent.engine.EngineCompletion;
import org.tanagergap.agent.engine.EngineEvent;
import org.tanagergap.agent.engine.EngineLoad;
import org.tanagergap.agent.engine.ModelEngine;
import org.tanagergap.agent.engine.Segment;
import org.tanagergap.agent.engine.SegmentPrefill;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;

/** Model engine whose events are sent by the test. */
final class FakeEngine implements ModelEngine {

    final Map<String, MultiEmitter<? super EngineEvent>> mStreams = new LinkedHashMap<>();
    final List<EngineCompletion> mCompletions = new ArrayList<>();
    final List<String> mCancelledRuns = new ArrayList<>();
    final List<String> mClosedStreams = new ArrayList<>();
    final List<EngineRun> mRuns = new ArrayList<>();
    final List<String> mReleasedSegments = new ArrayList<>();
    final List<UniEmitter<? super Void>> mPendingCancellations = new ArrayList<>();
    MultiEmitter<? super CacheEvent> mCacheEmitter;
    UniEmitter<? super Segment> mPrefillEmitter;
    boolean mDeferCancellations;
    boolean mReachable = true;

    @Override
    public Multi<EngineEvent> complete(EngineCompletion completion) {
        String id = completion.attemptId().value();
        mCompletions.add(completion);
        return Multi.createFrom()
                .emitter(
                        emitter -> {
                            mStreams.put(id, emitter);
                            emitter.onTermination(() -> mClosedStreams.add(id));
                        });
    }

    @Override
    public Uni<Void> cancel(AttemptId attempt) {
        mCancelledRuns.add(attempt.value());
        mRuns.removeIf(r -> r.attemptId().equals(attempt));
        return mDeferCancellations
                ? Uni.createFrom().emitter(mPendingCancellations::add)
                : Uni.createFrom().voidItem();
    }

    @Override
    public Uni<List<EngineRun>> runs() {
        return Uni.createFrom().item(List.copyOf(mRuns));
    }

    @Override
    public Uni<EngineLoad> load() {
        return mReachable
                ? Uni.createFrom().item(new EngineLoad(0, 1_000, 0, 0, 1))
                : Uni.createFrom().failure(new IllegalStateException("connection refused"));
    }

    @Override
    public Multi<CacheEvent> cacheEvents() {
        return Multi.createFrom().emitter(emitter -> mCacheEmitter = emitter);
    }

    @Override
    public Uni<Segment> prefill(SegmentPrefill prefill) {
        return Uni.createFrom().emitter(emitter -> mPrefillEmitter = emitter);
    }

    @Override
    public Uni<Void> releaseSegment(String handle) {
        mReleasedSegments.add(handle);
        return Uni.createFrom().voidItem();
    }

    void token(String id, long index) {
        mStreams.get(id).emit(new EngineEvent.Token(id, index, "t" + index));
    }

    void finish(String id, long tokens) {
        mStreams.get(id).emit(new EngineEvent.Finish(id, "stop", 100, tokens, 0));
    }
}
