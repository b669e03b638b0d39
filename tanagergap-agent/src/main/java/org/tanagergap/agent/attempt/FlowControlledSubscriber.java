package org.tanagergap.agent.attempt;

import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.function.Consumer;
import org.tanagergap.agent.engine.EngineEvent;

/**
 * Requests the events of an engine only as fast as the caller accepts them, so that a slow caller
 * does not fill the agent's memory. All callbacks run on the agent's event loop.
 */
final class FlowControlledSubscriber implements Flow.Subscriber<EngineEvent> {

    /** Most events requested from the engine's stream but not yet processed; each is one token. */
    static final int MAX_IN_FLIGHT_EVENTS = 32;

    private final Executor mLoop;
    private final EventSink mSink;
    private final Consumer<EngineEvent> mOnEvent;
    private final Consumer<Throwable> mOnFailure;
    private final Runnable mOnEnd;
    private final Runnable mOnResume;
    private volatile Flow.Subscription mSubscription;

    /**
     * Processed events whose successors are not requested while the caller's write queue is full.
     */
    private long mDeferredRequests;

    FlowControlledSubscriber(
            Executor loop,
            EventSink sink,
            Consumer<EngineEvent> onEvent,
            Consumer<Throwable> onFailure,
            Runnable onEnd,
            Runnable onResume) {
        mLoop = loop;
        mSink = sink;
        mOnEvent = onEvent;
        mOnFailure = onFailure;
        mOnEnd = onEnd;
        mOnResume = onResume;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        mSubscription = subscription;
        subscription.request(MAX_IN_FLIGHT_EVENTS);
    }

    @Override
    public void onNext(EngineEvent event) {
        mLoop.execute(
                () -> {
                    mOnEvent.accept(event);
                    requestNext();
                });
    }

    @Override
    public void onError(Throwable failure) {
        mLoop.execute(() -> mOnFailure.accept(failure));
    }

    @Override
    public void onComplete() {
        mLoop.execute(mOnEnd);
    }

    /** True while no further events are requested because the caller's write queue is full. */
    boolean isPaused() {
        return mDeferredRequests > 0;
    }

    void cancel() {
        mSubscription.cancel();
    }

    private void requestNext() {
        if (!mSink.isFull()) {
            mSubscription.request(1);
            return;
        }
        mDeferredRequests++;
        if (mDeferredRequests == 1) {
            mSink.onDrain(() -> mLoop.execute(this::resume));
        }
    }

    private void resume() {
        long deferred = mDeferredRequests;
        mDeferredRequests = 0;
        if (deferred > 0) {
            mOnResume.run();
            mSubscription.request(deferred);
        }
    }
}
