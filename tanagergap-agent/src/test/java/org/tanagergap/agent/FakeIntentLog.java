package org.tanagergap.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.state.intent.IntentDecision;
import org.tanagergap.state.intent.IntentKey;
import org.tanagergap.state.intent.IntentLog;
import org.tanagergap.state.intent.RecordedResponse;

/** Intent log whose decisions are made by the test. */
final class FakeIntentLog implements IntentLog {

    final List<CompletableFuture<IntentDecision>> mDecisions = new ArrayList<>();
    final List<String> mHashes = new ArrayList<>();
    final List<RecordedResponse> mRecorded = new ArrayList<>();
    final List<IntentKey> mAbandoned = new ArrayList<>();
    CompletableFuture<Void> mRecordResult = CompletableFuture.completedFuture(null);

    @Override
    public CompletableFuture<IntentDecision> begin(
            IntentKey key, String bodyHash, AttemptId attempt, Duration timeToDeadline) {
        CompletableFuture<IntentDecision> decision = new CompletableFuture<>();
        mDecisions.add(decision);
        mHashes.add(bodyHash);
        return decision;
    }

    @Override
    public CompletableFuture<Void> recordOutcome(
            IntentKey key, AttemptId attempt, RecordedResponse response) {
        mRecorded.add(response);
        return mRecordResult;
    }

    @Override
    public CompletableFuture<Void> abandon(IntentKey key, AttemptId attempt) {
        mAbandoned.add(key);
        return CompletableFuture.completedFuture(null);
    }

    void decide(IntentDecision decision) {
        mDecisions.get(mDecisions.size() - 1).complete(decision);
    }
}
