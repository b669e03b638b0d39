package org.tanagergap.gateway.forward;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Sends administrative requests of one kind to engines, each again and again until one of them gets
 * a response. Confined to the event loop.
 */
final class RepeatedEngineRequests {

    private final RuntimeClock mClock;
    private final Supplier<Duration> mInterval;
    private final Request mRequest;
    private final Listener mListener;
    private final Map<String, Timer> mRepeats = new HashMap<>();

    /** Sends one request. */
    interface Request {

        /** Returns the status of the response; empty if no request is needed any more. */
        Optional<Future<Integer>> send(Upstream engine);
    }

    /** Receives what follows each request. */
    interface Listener {

        /** Called with the status of a response; the request is not sent again. */
        void answered(Upstream engine, int status);

        /** Called when a request has failed, which may be carried out all the same. */
        void unanswered(Upstream engine, Throwable failure);
    }

    /**
     * Creates requests, none of which is sent.
     *
     * @param interval time from a request without a response so far to the next one
     */
    RepeatedEngineRequests(
            RuntimeClock clock, Supplier<Duration> interval, Request request, Listener listener) {
        mClock = clock;
        mInterval = interval;
        mRequest = request;
        mListener = listener;
    }

    /** Sends a request to the engine, unless an earlier one is still being repeated. */
    void send(Upstream engine) {
        if (!mRepeats.containsKey(engine.id())) {
            sendUntilAnswered(engine);
        }
    }

    private void sendUntilAnswered(Upstream engine) {
        Optional<Future<Integer>> status = mRequest.send(engine);
        if (status.isEmpty()) {
            mRepeats.remove(engine.id());
            return;
        }
        Timer repeat = mClock.schedule(mInterval.get(), () -> sendUntilAnswered(engine));
        mRepeats.put(engine.id(), repeat);
        status.get()
                .onSuccess(
                        value -> {
                            Optional.ofNullable(mRepeats.remove(engine.id()))
                                    .ifPresent(Timer::cancel);
                            mListener.answered(engine, value);
                        })
                .onFailure(failure -> mListener.unanswered(engine, failure));
    }
}
