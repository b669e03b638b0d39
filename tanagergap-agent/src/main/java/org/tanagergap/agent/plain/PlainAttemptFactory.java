package org.tanagergap.agent.plain;

import org.tanagergap.agent.attempt.Attempt;
import org.tanagergap.agent.attempt.AttemptContext;
import org.tanagergap.agent.attempt.AttemptFactory;
import org.tanagergap.agent.attempt.EventSink;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.protocol.v1.PlainWork;
import org.tanagergap.protocol.v1.RunRequest;

/** Creates attempts for a plain service. */
public final class PlainAttemptFactory implements AttemptFactory {

    private final AttemptContext mContext;
    private final PlainServiceClient mClient;

    public PlainAttemptFactory(AttemptContext context, PlainServiceClient client) {
        mContext = context;
        mClient = client;
    }

    @Override
    public void check(RunRequest request) {
        if (!request.hasPlain()) {
            throw ProtocolMessages.malformed("work", "a plain service needs a plain call");
        }
        PlainWork work = request.getPlain();
        if (!work.getPath().startsWith("/")) {
            throw ProtocolMessages.malformed("path", "path must start with a slash");
        }
        if (!work.getIdempotent() && work.getIdempotencyKey().isEmpty()) {
            throw RequestFailure.notRun(
                            FailureCode.IDEMPOTENCY_KEY_REQUIRED,
                            "this call needs an Idempotency-Key")
                    .withField("Idempotency-Key");
        }
    }

    @Override
    public Attempt create(RunRequest request, EventSink sink, PolicyStamp policy) {
        return new PlainAttempt(mContext, request, sink, mClient);
    }
}
