package org.tanagergap.entry.execution;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.HoldReply;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.ReleaseHoldRequest;

/** Reserves memory for the segments of one attempt at their agents, and releases it. */
final class SegmentReservationClient {

    /** Unless extended, a reservation expires after this time (design page, section 7.4). */
    static final Duration EXPIRY = Duration.ofSeconds(10);

    private final ExecutorContext mContext;
    private final CallerRequest mRequest;
    private final AttemptId mAttempt;

    SegmentReservationClient(ExecutorContext context, CallerRequest request, AttemptId attempt) {
        mContext = context;
        mRequest = request;
        mAttempt = attempt;
    }

    /** Reserves memory at an agent, or extends the reservation of the attempt there. */
    Future<HoldReply> reserve(String address, long tokens, Duration timeout) {
        HoldRequest request =
                HoldRequest.newBuilder()
                        .setHoldId(mAttempt.value())
                        .setTokens(tokens)
                        .setExpiresInMs(EXPIRY.toMillis())
                        .setPolicy(RunRequestWriter.policy(mRequest.policy()))
                        .build();
        return mContext.clients()
                .agent(address)
                .compose(client -> client.hold(request))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Releases the reservation at an agent; if the release is lost, the reservation expires. */
    void release(String address) {
        ReleaseHoldRequest request =
                ReleaseHoldRequest.newBuilder().setHoldId(mAttempt.value()).build();
        mContext.clients().agent(address).compose(client -> client.releaseHold(request));
    }
}
