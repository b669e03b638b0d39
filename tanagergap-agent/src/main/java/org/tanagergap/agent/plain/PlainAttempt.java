package org.tanagergap.agent.plain;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Optional;
import org.tanagergap.agent.attempt.Attempt;
import org.tanagergap.agent.attempt.AttemptContext;
import org.tanagergap.agent.attempt.EventSink;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.PlainWork;
import org.tanagergap.protocol.v1.ResponseHead;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.state.intent.IntentKey;

/** Attempt to run a call on the plain service. */
public final class PlainAttempt extends Attempt implements PlainCallListener {

    /** Far below the limit of the entries for one message. */
    private static final int MAX_BODY_EVENT_BYTES = 1024 * 1024;

    private final PlainServiceClient mClient;
    private final PlainWork mWork;
    private PlainCallExecution mCall;
    private Span mUpstreamSpan = Span.getInvalid();
    private boolean mSent;

    public PlainAttempt(
            AttemptContext context, RunRequest request, EventSink sink, PlainServiceClient client) {
        super(context, request, sink);
        mClient = client;
        mWork = request.getPlain();
    }

    @Override
    protected void sendUpstream() {
        Optional<IntentKey> key =
                mWork.getIdempotent()
                        ? Optional.empty()
                        : Optional.of(
                                new IntentKey(
                                        mRequest.getService(),
                                        mRequest.getPolicy().getWorkspace(),
                                        mWork.getIdempotencyKey()));
        PlainCall call =
                new PlainCall(
                        id(),
                        mWork.getMethod(),
                        mWork.getPath(),
                        mWork.getHeadersList(),
                        mWork.getBody(),
                        mWork.getIdempotencyKey(),
                        mContext.tracing().traceparent(span()));
        mCall = mClient.prepare(call, key, mDeadline, this);
        mCall.start();
    }

    @Override
    protected void stopUpstream() {
        mCall.cancel();
    }

    @Override
    protected Execution knownExecution() {
        return mSent ? Execution.UNKNOWN : Execution.NOT_RUN;
    }

    @Override
    public boolean isDispatchUnconfirmed() {
        return false;
    }

    @Override
    public void sending() {
        mSent = true;
        sendAdmitted();
        mUpstreamSpan = mContext.tracing().startChild("plain.call", SpanKind.CLIENT, span());
    }

    @Override
    public void responseReceived(PlainServiceResponse response) {
        send(
                RunEvent.newBuilder()
                        .setHead(
                                ResponseHead.newBuilder()
                                        .setStatus(response.status())
                                        .addAllHeaders(response.headers())
                                        .setReplayed(response.replayed())));
        for (int from = 0; from < response.body().size(); from += MAX_BODY_EVENT_BYTES) {
            int to = Math.min(response.body().size(), from + MAX_BODY_EVENT_BYTES);
            send(RunEvent.newBuilder().setBody(response.body().substring(from, to)));
        }
        finish(RunEvent.newBuilder().setFinished(Finished.getDefaultInstance()));
    }

    @Override
    public void failed(RequestFailure failure) {
        fail(failure);
    }

    @Override
    public void ended() {
        mUpstreamSpan.end();
        release(1);
    }
}
