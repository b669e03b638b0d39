package org.tanagergap.entry.execution;

import com.google.protobuf.ByteString;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.CompletionWork;
import org.tanagergap.protocol.v1.CostEstimate;
import org.tanagergap.protocol.v1.PlainWork;
import org.tanagergap.protocol.v1.PolicyStamp;
import org.tanagergap.protocol.v1.RunRequest;

/** Builds protocol messages for agents. */
final class RunRequestWriter {

    private RunRequestWriter() {}

    /** Message that starts an attempt. */
    static RunRequest write(
            CallerRequest request,
            AttemptId attempt,
            Resumption resumption,
            SpanningPromptReservation reservation,
            long timeToDeadlineMillis,
            long knownPrefixRevision,
            String traceparent) {
        RunRequest.Builder message =
                RunRequest.newBuilder()
                        .setRequestId(request.id().value())
                        .setAttemptId(attempt.value())
                        .setService(request.service())
                        .setPolicy(policy(request.policy()))
                        .setDeadlineLeftMs(timeToDeadlineMillis)
                        .setKnownPrefixRevision(knownPrefixRevision)
                        .setTraceparent(traceparent);
        if (request.payload() instanceof RequestPayload.Completion completion) {
            message.setCompletion(
                    CompletionWork.newBuilder()
                            .setModel(completion.model())
                            .setPrompt(completion.prompt())
                            .setCost(
                                    CostEstimate.newBuilder()
                                            .setPromptTokens(completion.cost().promptTokens())
                                            .setMaxOutputTokens(
                                                    completion.cost().maxOutputTokens()))
                            .setResumeFrom(resumption.nextIndex())
                            .setGeneratedText(resumption.text())
                            .setPrefixHash(completion.hash())
                            .setHoldId(reservation.holdId())
                            .addAllSegments(reservation.segments()));
        } else if (request.payload() instanceof RequestPayload.Plain plain) {
            message.setPlain(
                    PlainWork.newBuilder()
                            .setMethod(plain.method())
                            .setPath(plain.path())
                            .addAllHeaders(plain.headers())
                            .setBody(ByteString.copyFrom(plain.body().getBytes()))
                            .setIdempotent(plain.idempotent())
                            .setIdempotencyKey(plain.idempotencyKey().orElse("")));
        }
        return message.build();
    }

    /** Converts a policy stamp to its protocol message. */
    static PolicyStamp policy(org.tanagergap.decisions.policy.PolicyStamp stamp) {
        return PolicyStamp.newBuilder()
                .setConfigurationVersion(stamp.configurationVersion())
                .setWorkspace(stamp.workspace())
                .setWeight(stamp.weight())
                .setRank(stamp.rank())
                .setRankPriority(stamp.rankPriority())
                .setRankFloorPercent(stamp.rankFloorPercent())
                .build();
    }
}
