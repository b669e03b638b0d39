package org.tanagergap.standins.engine;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;

/** Faults that a test switches on in a running stand-in engine. Confined to the event loop. */
final class EngineFaults {

    private boolean mWithholdsEvents;
    private boolean mRefusesRequests;
    private double mRetryAfterSeconds;
    private int mCutAfterTokens;
    private int mCrossedEvents;
    private int mDuplicatedEvents;
    private int mSkippedEvents;
    private int mErrorStatus;
    private int mEndAfterTokens;
    private boolean mEndsWithError;
    private boolean mFinishesWithError;
    private Optional<Duration> mSilence = Optional.empty();
    private int mSilentAfterTokens;
    private boolean mRepeatsRefusals;

    /** Replaces all faults; absent fields switch their fault off. */
    void replace(JsonObject json) {
        mWithholdsEvents = json.getBoolean("silent", false);
        mRefusesRequests = json.getBoolean("refuse", false);
        mRetryAfterSeconds = json.getDouble("retry_after_s", 0.0);
        mCutAfterTokens = json.getInteger("cut_after_tokens", 0);
        mCrossedEvents = json.getInteger("crossed", 0);
        mDuplicatedEvents = json.getInteger("duplicated", 0);
        mSkippedEvents = json.getInteger("skipped", 0);
        mErrorStatus = json.getInteger("error_status", 0);
        mEndAfterTokens = json.getInteger("end_after_tokens", 0);
        mEndsWithError = json.getBoolean("end_with_error", false);
        mFinishesWithError = json.getBoolean("finish_with_error", false);
        mSilence = Optional.ofNullable(json.getLong("silence_ms")).map(Duration::ofMillis);
        mSilentAfterTokens = json.getInteger("silent_after_tokens", 0);
        mRepeatsRefusals = json.getBoolean("repeat_refusals", false);
    }

    /** Returns true if no events are sent although runs continue. */
    boolean withholdsEvents() {
        return mWithholdsEvents;
    }

    /** Returns true if every request is refused. */
    boolean refusesRequests() {
        return mRefusesRequests;
    }

    /** Returns the time that refusals name, in seconds; 0 if they name none. */
    double retryAfterSeconds() {
        return mRetryAfterSeconds;
    }

    /** Returns true if the connection is reset once the stream has sent this many tokens. */
    boolean cutsAfter(long tokensSent) {
        return mCutAfterTokens > 0 && tokensSent >= mCutAfterTokens;
    }

    /** Returns the status with which every completion fails; 0 if they do not fail. */
    int errorStatus() {
        return mErrorStatus;
    }

    /** Returns true if the stream ends without its last events after this many tokens. */
    boolean endsAfter(long tokensSent) {
        return mEndAfterTokens > 0 && tokensSent >= mEndAfterTokens;
    }

    /** Returns true if a stream that ends early ends with an event that contains an error. */
    boolean endsWithError() {
        return mEndsWithError;
    }

    /** Returns true if a last event with an error replaces all tokens. */
    boolean finishesWithError() {
        return mFinishesWithError;
    }

    /** Consumes one silence that begins once a stream has sent this many tokens. */
    Optional<Duration> takeSilence(long tokensSent) {
        if (tokensSent < mSilentAfterTokens) {
            return Optional.empty();
        }
        Optional<Duration> silence = mSilence;
        mSilence = Optional.empty();
        return silence;
    }

    /** Consumes one fault that sends an event of another request before the next event. */
    boolean takeCrossedEvent() {
        return mCrossedEvents > 0 && mCrossedEvents-- > 0;
    }

    /** Consumes one fault that sends the next event twice. */
    boolean takeDuplicatedEvent() {
        return mDuplicatedEvents > 0 && mDuplicatedEvents-- > 0;
    }

    /** Returns true if runs are answered with an earlier refusal of their connection. */
    boolean repeatsRefusals() {
        return mRepeatsRefusals;
    }

    /** Consumes one fault that drops the next event. */
    boolean takeSkippedEvent() {
        return mSkippedEvents > 0 && mSkippedEvents-- > 0;
    }
}
