package org.tanagergap.decisions.routing;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.scheduling.PrefillBacklog;

/** What an entry knows about one agent. */
final class AgentState {

    /**
     * A hint may have been sent before an attempt arrived that was sent this shortly before the
     * hint came in: 3.5 ms one way between failure domains, and jitter.
     */
    private static final Duration HINT_DELAY = Duration.ofMillis(10);

    /** Time after which an exchange that got no reply is asked for again. */
    private static final Duration ASK_AGAIN = Duration.ofSeconds(1);

    private final Map<AttemptId, Sent> mUnseen = new LinkedHashMap<>();
    private final RouterSettings mSettings;
    private final long mKnownSinceNanos;
    private AgentEndpoint mEndpoint;
    private LoadHint mHint;
    private long mHintNanos;
    private PrefillBacklog mUnseenPrompts = PrefillBacklog.EMPTY;
    private long mUnseenMemoryTokens;
    private int mInFlight;
    private int mFailures;
    private long mProbeIntervalNanos;
    private long mNextProbeNanos;
    private boolean mAsked;
    private long mAskedNanos;
    private long mAskedVersion;

    AgentState(AgentEndpoint endpoint, RouterSettings settings, long nowNanos) {
        mEndpoint = endpoint;
        mSettings = settings;
        mKnownSinceNanos = nowNanos;
    }

    AgentEndpoint endpoint() {
        return mEndpoint;
    }

    void setEndpoint(AgentEndpoint endpoint) {
        mEndpoint = endpoint;
    }

    String name() {
        return mEndpoint.name();
    }

    Optional<LoadHint> hint() {
        return Optional.ofNullable(mHint);
    }

    /** Time since the hint, or since the agent became known when it has sent none. */
    long hintAgeNanos(long nowNanos) {
        return nowNanos - (mHint == null ? mKnownSinceNanos : mHintNanos);
    }

    /** Prompt tokens sent to the agent that its hint does not show yet. */
    PrefillBacklog unseenPrompts() {
        return mUnseenPrompts;
    }

    long unseenMemoryTokens() {
        return mUnseenMemoryTokens;
    }

    int unseenAttempts() {
        return mUnseen.size();
    }

    /** Attempts of this entry at the agent. */
    int inFlight() {
        return mInFlight;
    }

    /** Whether new work may go to the agent. */
    boolean isUsable() {
        boolean refuses = mHint != null && (mHint.draining() || !mHint.upstreamReady());
        return !refuses && !isUnreachable();
    }

    boolean isUnreachable() {
        return mFailures >= mSettings.failuresBeforeProbing();
    }

    boolean isProbeDue(long nowNanos) {
        return isUnreachable() && nowNanos - mNextProbeNanos >= 0;
    }

    void hintReceived(LoadHint hint, long nowNanos) {
        mHint = hint;
        mHintNanos = nowNanos;
        mAsked = false;
        Iterator<Sent> sent = mUnseen.values().iterator();
        while (sent.hasNext()) {
            Sent oldest = sent.next();
            if (nowNanos - oldest.sentNanos() < HINT_DELAY.toNanos()) {
                return;
            }
            sent.remove();
            forget(oldest.cost());
        }
    }

    void attemptSent(AttemptId attempt, RequestCost cost, long nowNanos) {
        mInFlight++;
        mUnseen.put(attempt, new Sent(cost, nowNanos));
        countPrompt(cost, cost.promptTokens());
        mUnseenMemoryTokens += memoryTokens(cost);
    }

    void attemptEnded(AttemptId attempt) {
        mInFlight--;
        Sent sent = mUnseen.remove(attempt);
        if (sent != null) {
            forget(sent.cost());
        }
    }

    void connectionFailed(long nowNanos) {
        mFailures++;
        if (!isUnreachable()) {
            return;
        }
        long first = mSettings.firstProbeAfter().toNanos();
        mProbeIntervalNanos =
                mProbeIntervalNanos == 0
                        ? first
                        : Math.min(2 * mProbeIntervalNanos, mSettings.maxProbeInterval().toNanos());
        mNextProbeNanos = nowNanos + mProbeIntervalNanos;
    }

    void connectionSucceeded() {
        mFailures = 0;
        mProbeIntervalNanos = 0;
    }

    /** Takes the probe that is due, so that other requests leave the agent alone until then. */
    void probeStarted(long nowNanos) {
        mNextProbeNanos = nowNanos + mProbeIntervalNanos;
    }

    /** Whether an exchange is due; an answer {@code true} counts as a request for it. */
    boolean takeExchange(long configurationVersion, long nowNanos) {
        if (isUnreachable()) {
            if (!isProbeDue(nowNanos)) {
                return false;
            }
            probeStarted(nowNanos);
            return true;
        }
        boolean isOld =
                mHint == null || hintAgeNanos(nowNanos) >= mSettings.exchangeInterval().toNanos();
        boolean isBehind = mHint == null || mHint.configurationVersion() < configurationVersion;
        boolean isWaiting =
                mAsked
                        && mAskedVersion >= configurationVersion
                        && nowNanos - mAskedNanos < ASK_AGAIN.toNanos();
        if (isWaiting || !(isOld || isBehind)) {
            return false;
        }
        mAsked = true;
        mAskedNanos = nowNanos;
        mAskedVersion = configurationVersion;
        return true;
    }

    /** Plain calls occupy one unit, as in the agent's ledger. */
    static long memoryTokens(RequestCost cost) {
        return Math.max(1, cost.memoryTokens());
    }

    private void forget(RequestCost cost) {
        countPrompt(cost, -cost.promptTokens());
        mUnseenMemoryTokens -= memoryTokens(cost);
    }

    private void countPrompt(RequestCost cost, long tokens) {
        mUnseenPrompts = mUnseenPrompts.plus(LengthBand.of(cost.promptTokens()), tokens);
    }

    private record Sent(RequestCost cost, long sentNanos) {}
}
