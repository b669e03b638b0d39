package org.tanagergap.agent.plain;

import io.smallrye.mutiny.subscription.Cancellable;
import java.util.concurrent.Executor;

/** Idempotent call; it is aborted when its caller closes the request. */
final class IdempotentCall implements PlainCallExecution {

    private final PlainUpstream mUpstream;
    private final Executor mLoop;
    private final PlainCall mCall;
    private final PlainCallListener mListener;
    private Cancellable mExchange = () -> {};
    private boolean mEnded;

    IdempotentCall(
            PlainUpstream upstream, Executor loop, PlainCall call, PlainCallListener listener) {
        mUpstream = upstream;
        mLoop = loop;
        mCall = call;
        mListener = listener;
    }

    @Override
    public void start() {
        mListener.sending();
        mExchange =
                mUpstream
                        .send(mCall)
                        .subscribe()
                        .with(
                                response -> mLoop.execute(() -> responseReceived(response)),
                                failure -> mLoop.execute(() -> failed(failure)));
    }

    @Override
    public void cancel() {
        if (!mEnded) {
            mEnded = true;
            mExchange.cancel();
            mListener.ended();
        }
    }

    private void responseReceived(PlainServiceResponse response) {
        if (!mEnded) {
            mEnded = true;
            mListener.responseReceived(response);
            mListener.ended();
        }
    }

    private void failed(Throwable failure) {
        if (!mEnded) {
            mEnded = true;
            mListener.failed(PlainFailures.ofSend(failure));
            mListener.ended();
        }
    }
}
