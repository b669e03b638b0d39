package org.tanagergap.agent.attempt;

import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.function.Consumer;
import org.tanagergap.agent.engine.EngineEvent;

/**
 * Takes the events of an engine only as fast as the caller takes them, so that a slow caller does
 * not fill the agent's memory. All callbacks run on the agent's loop.
 */
final class FlowControlledSubscriber implements Flow.Subscriber<EngineEvent> {

    /** Events on their way from the engine's connection to the loop; each is one token. */
    static final int EVENTS_AHEAD = 32;

    private final Executor mLoop;
    private final EventSink mSink;
    private final Consumer<EngineEvent> mReceived;
    private final Consumer<Throwable> mFailed;
    private final Runnable mEnded;
    private final Runnable mResumed;
    private volatile Flow.Subscription mSubscription;

    /** Events that were passed on while the caller's write queue was full. */
    private long mHeldRequests;

    FlowControlledSubscriber(
            Executor loop,
            EventSink sink,
            Consumer<EngineEvent> received,
            Consumer<Throwable> failed,
            Runnable ended,
            Runnable resumed) {
        mLoop = loop;
        mSink = sink;
        mReceived = received;
        mFailed = failed;
        mEnded = ended;
        mResumed = resumed;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        mSubscription = subscription;
        subscription.request(EVENTS_AHEAD);
    }

    @Override
    public void onNext(EngineEvent event) {
        mLoop.execute(
                () -> {
                    mReceived.accept(event);
                    requestNext();
                });
    }

    @Override
    public void onError(Throwable failure) {
        mLoop.execute(() -> mFailed.accept(failure));
    }

    @Override
    public void onComplete() {
        mLoop.execute(mEnded);
    }

    /** Whether the caller must take events before the engine is read further. */
    boolean isPaused() {
        return mHeldRequests > 0;
    }

    void cancel() {
        mSubscription.cancel();
    }

    private void requestNext() {
        if (!mSink.isFull()) {
            mSubscription.request(1);
            return;
        }
        mHeldRequests++;
        if (mHeldRequests == 1) {
            mSink.onDrain(() -> mLoop.execute(this::resume));
        }
    }

    private void resume() {
        long held = mHeldRequests;
        mHeldRequests = 0;
        if (held > 0) {
            mResumed.run();
            mSubscription.request(held);
        }
    }
}
