package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.agent.plain.PlainServiceResponse;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.state.intent.IntentDecision;
import org.tanagergap.state.intent.IntentKey;
import org.tanagergap.state.intent.RecordedResponse;

/**
 * Guards against calls to plain services that are repeated, lost or reported with a wrong outcome.
 */
class PlainRunTests {

    private final List<UniEmitter<? super PlainServiceResponse>> mSent = new ArrayList<>();
    private final FakeIntentLog mIntents = new FakeIntentLog();
    private final RecordingSink mSink = new RecordingSink();
    private int mClosedConnections;
    private final AgentFixture mFixture =
            AgentFixture.ofPlainService(
                    call ->
                            Uni.createFrom()
                                    .<PlainServiceResponse>emitter(mSent::add)
                                    .onCancellation()
                                    .invoke(() -> mClosedConnections++),
                    mIntents);

    @AfterEach
    void nothingStaysReservedAndNothingIsSentTwice() {
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
        assertThat(mSink.mEndCount).isAtMost(1);
    }

    @Test
    void aGrantedCallIsSentOnceAndRecordedBeforeItsResponse() {
        mIntents.mRecordResult = new CompletableFuture<>();
        order(mSink);
        assertThat(mSent).isEmpty();
        mIntents.decide(new IntentDecision.Granted());
        assertThat(mSent).hasSize(1);
        mSent.get(0).complete(response());
        assertThat(mIntents.mRecorded)
                .containsExactly(new RecordedResponse(201, "", Optional.of("order 1")));
        assertThat(mSink.last().hasFinished()).isFalse();
        mIntents.mRecordResult.complete(null);
        assertThat(mSink.mEvents.get(1).getHead().getStatus()).isEqualTo(201);
        assertThat(mSink.mEvents.get(1).getHead().getReplayed()).isFalse();
        assertThat(mSink.mEvents.get(2).getBody().toStringUtf8()).isEqualTo("order 1");
        assertThat(mSink.last().hasFinished()).isTrue();
    }

    @Test
    void aResponseWaitsForItsRecordOnlyUntilTheTimeout() {
        mIntents.mRecordResult = new CompletableFuture<>();
        order(mSink);
        mIntents.decide(new IntentDecision.Granted());
        mSent.get(0).complete(response());
        mFixture.advance(2_000);
        assertThat(mSink.last().hasFinished()).isTrue();
    }

    @Test
    void aRecordedResponseIsReplayedWithoutASend() {
        order(mSink);
        mIntents.decide(
                new IntentDecision.Replay(
                        new RecordedResponse(201, "text/plain", Optional.of("order 1"))));
        assertThat(mSink.mEvents.get(0).getHead().getReplayed()).isTrue();
        assertThat(mSink.mEvents.get(1).getBody().toStringUtf8()).isEqualTo("order 1");
        assertThat(mSent).isEmpty();
    }

    @Test
    void aReplayWithoutARecordedBodyReportsThatTheCallRan() {
        order(mSink);
        mIntents.decide(new IntentDecision.Replay(new RecordedResponse(201, "", Optional.empty())));
        assertThat(mSink.failure()).isEqualTo("outcome_unknown/RAN");
    }

    @Test
    void callsThatAreNotGrantedAreNeverSent() {
        assertDecision(new IntentDecision.InProgress(), "in_progress/UNKNOWN");
        assertDecision(new IntentDecision.OutcomeUnknown(), "outcome_unknown/UNKNOWN");
        assertDecision(new IntentDecision.KeyConflict(), "idempotency_conflict/NOT_RUN");
        assertThat(mSent).isEmpty();
        assertThat(mIntents.mAbandoned).isEmpty();
    }

    @Test
    void withoutTheKeyValueServiceNothingIsSent() {
        order(mSink);
        mIntents.mDecisions.get(0).completeExceptionally(new IllegalStateException("outage"));
        assertThat(mSink.failure()).isEqualTo("unavailable/NOT_RUN");
        assertThat(mSent).isEmpty();
    }

    @Test
    void theIntentOfACallThatWasNotSentIsAbandoned() {
        order(mSink);
        mIntents.decide(new IntentDecision.Granted());
        mSent.get(0).fail(RequestFailure.notRun(FailureCode.UPSTREAM_FAILED, "refused"));
        assertThat(mSink.failure()).isEqualTo("upstream_failed/NOT_RUN");
        assertThat(mIntents.mAbandoned).containsExactly(new IntentKey("service-1", "w1", "key-1"));
    }

    @Test
    void aConnectionCutAfterTheSendLeavesTheOutcomeUnknown() {
        order(mSink);
        mIntents.decide(new IntentDecision.Granted());
        mSent.get(0).fail(new IllegalStateException("connection reset"));
        assertThat(mSink.failure()).isEqualTo("upstream_failed/UNKNOWN");
        assertThat(mIntents.mAbandoned).isEmpty();
    }

    @Test
    void aGrantThatArrivesAfterTheDeadlineIsAbandoned() {
        order(mSink);
        mFixture.advance(60_000);
        assertThat(mSink.failure()).isEqualTo("deadline_exceeded/NOT_RUN");
        mIntents.decide(new IntentDecision.Granted());
        assertThat(mSent).isEmpty();
        assertThat(mIntents.mAbandoned).hasSize(1);
    }

    @Test
    void aSentCallIsRecordedAfterItsCallerDisconnects() {
        Runnable close = order(mSink);
        mIntents.decide(new IntentDecision.Granted());
        close.run();
        assertThat(mClosedConnections).isEqualTo(0);
        mSent.get(0).complete(response());
        assertThat(mIntents.mRecorded).hasSize(1);
        assertThat(mIntents.mAbandoned).isEmpty();
    }

    @Test
    void aSentCallWithoutAResponseEndsAfterItsDeadline() {
        order(mSink);
        mIntents.decide(new IntentDecision.Granted());
        mFixture.advance(60_000);
        assertThat(mSink.failure()).isEqualTo("deadline_exceeded/UNKNOWN");
        mFixture.advance(10_000);
        assertThat(mClosedConnections).isEqualTo(1);
        assertThat(mIntents.mAbandoned).isEmpty();
    }

    @Test
    void aCallWithoutAKeyIsRefused() {
        mFixture.mAgent.rpcHandler().run(AgentFixture.order("a.1", "").build(), mSink);
        assertThat(mSink.failure()).isEqualTo("idempotency_key_required/NOT_RUN");
    }

    @Test
    void theConcurrencyIsBounded() {
        List<RecordingSink> sinks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            sinks.add(new RecordingSink());
            RunRequest.Builder call = AgentFixture.order("s." + i, "");
            call.getPlainBuilder().setIdempotent(true);
            mFixture.mAgent.rpcHandler().run(call.build(), sinks.get(i));
        }
        assertThat(mSent).hasSize(2);
        mSent.get(0).complete(response());
        assertThat(mSent).hasSize(3);
        mSent.get(1).complete(response());
        mSent.get(2).complete(response());
        assertThat(sinks.get(2).last().hasFinished()).isTrue();
        assertThat(mIntents.mDecisions).isEmpty();
    }

    private void assertDecision(IntentDecision decision, String failure) {
        RecordingSink sink = new RecordingSink();
        order(sink);
        mIntents.decide(decision);
        assertThat(sink.failure()).isEqualTo(failure);
    }

    private Runnable order(RecordingSink sink) {
        return mFixture.mAgent.rpcHandler().run(AgentFixture.order("a.1", "key-1").build(), sink);
    }

    private static PlainServiceResponse response() {
        return new PlainServiceResponse(201, List.of(), ByteString.copyFromUtf8("order 1"), false);
    }
}
