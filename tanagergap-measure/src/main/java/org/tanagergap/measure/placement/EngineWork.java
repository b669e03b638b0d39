package org.tanagergap.measure.placement;

import org.tanagergap.decisions.fleet.EngineProfile;

/** Prompt or part of a prompt on one engine of the model. */
final class EngineWork {

    private final SimulatedRequest mRequest;
    private final long mTokens;
    private final double mMillisPerToken;
    private final boolean mDecodes;
    private long mLeft;
    private int mEventsLeft;

    EngineWork(SimulatedRequest request, EngineProfile engine, int parts, boolean decodes) {
        mRequest = request;
        long prompt = request.cost().promptTokens();
        mTokens = Math.max(1, prompt / parts);
        mMillisPerToken = engine.prefillMillis(prompt) / parts / mTokens;
        mDecodes = decodes;
        mLeft = mTokens;
        mEventsLeft = request.events();
    }

    boolean decodes() {
        return mDecodes;
    }

    long prefillTokensLeft() {
        return mLeft;
    }

    long contextTokens() {
        return mRequest.cost().memoryTokens();
    }

    /** Prefills that many tokens and returns the time in ms. */
    double prefill(long tokens) {
        mLeft -= tokens;
        return tokens * mMillisPerToken;
    }

    void prefilled(double nowMillis) {
        mRequest.partPrefilled(nowMillis);
    }

    /** Emits an event; returns true if it was the last one. */
    boolean emitEvent(double nowMillis) {
        if (!mRequest.firstTokenPossible()) {
            return false;
        }
        mRequest.event(nowMillis);
        return --mEventsLeft <= 0;
    }
}
