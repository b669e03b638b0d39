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

/** State of one agent as seen by an entry. */
final class RoutedAgent {

    /**
     * A hint may not include attempts sent this shortly before it arrived: 3.5 ms one way between
     * failure domains, and jitter.
     */
    private static final Duration HINT_DELAY = Duration.ofMillis(10);

    /** Time after which an exchange without a reply is requested again. */
    private static final Duration EXCHANGE_RETRY_DELAY = Duration.ofSeconds(1);

    private final Map<AttemptId, Sent> mUnreported = new LinkedHashMap<>();
    private final RouterSettings mSettings;
    private final long mAddedNanos;
    private AgentEndpoint mEndpoint;
    private LoadHint mHint;
    private long mHintNanos;
    private PrefillBacklog mUnreportedPrompts = PrefillBacklog.EMPTY;
    private long mUnreportedMemoryTokens;
    private int mInFlight;
    private int mFailures;
    private long mProbeIntervalNanos;
    private long mNextProbeNanos;
    private boolean mExchangeRequested;
    private long mExchangeRequestedNanos;
    private long mRequestedVersion;

    RoutedAgent(AgentEndpoint endpoint, RouterSettings settings, long nowNanos) {
        mEndpoint = endpoint;
        mSettings = settings;
        mAddedNanos = nowNanos;
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

    /** Returns the time since the last hint, or since the agent was added when it has sent none. */
    long hintAgeNanos(long nowNanos) {
        return nowNanos - (mHint == null ? mAddedNanos : mHintNanos);
    }

    /** Returns the prompt tokens sent to the agent that its last hint does not include yet. */
    PrefillBacklog unreportedPrompts() {
        return mUnreportedPrompts;
    }

    long unreportedMemoryTokens() {
        return mUnreportedMemoryTokens;
    }

    int unreportedAttempts() {
        return mUnreported.size();
    }

    /** Returns the number of attempts of this entry at the agent. */
    int inFlight() {
        return mInFlight;
    }

    /** Returns true if new work may be sent to the agent. */
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
        mExchangeRequested = false;
        Iterator<Sent> sent = mUnreported.values().iterator();
        while (sent.hasNext()) {
            Sent oldest = sent.next();
            if (nowNanos - oldest.sentNanos() < HINT_DELAY.toNanos()) {
                return;
            }
            sent.remove();
            subtractUnreported(oldest.cost());
        }
    }

    void attemptSent(AttemptId attempt, RequestCost cost, long nowNanos) {
        mInFlight++;
        mUnreported.put(attempt, new Sent(cost, nowNanos));
        addUnreportedPrompt(cost, cost.promptTokens());
        mUnreportedMemoryTokens += memoryTokens(cost);
    }

    void attemptEnded(AttemptId attempt) {
        mInFlight--;
        Sent sent = mUnreported.remove(attempt);
        if (sent != null) {
            subtractUnreported(sent.cost());
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

    /**
     * Moves the next probe one interval ahead, so that no other request probes the agent until
     * then.
     */
    void probeStarted(long nowNanos) {
        mNextProbeNanos = nowNanos + mProbeIntervalNanos;
    }

    /** Returns true if an exchange is due, which then counts as requested. */
    boolean startExchangeIfDue(long configurationVersion, long nowNanos) {
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
        boolean isPending =
                mExchangeRequested
                        && mRequestedVersion >= configurationVersion
                        && nowNanos - mExchangeRequestedNanos < EXCHANGE_RETRY_DELAY.toNanos();
        if (isPending || !(isOld || isBehind)) {
            return false;
        }
        mExchangeRequested = true;
        mExchangeRequestedNanos = nowNanos;
        mRequestedVersion = configurationVersion;
        return true;
    }

    /** Plain calls occupy one unit, as in the agent's memory ledger. */
    static long memoryTokens(RequestCost cost) {
        return Math.max(1, cost.memoryTokens());
    }

    private void subtractUnreported(RequestCost cost) {
        addUnreportedPrompt(cost, -cost.promptTokens());
        mUnreportedMemoryTokens -= memoryTokens(cost);
    }

    private void addUnreportedPrompt(RequestCost cost, long tokens) {
        mUnreportedPrompts = mUnreportedPrompts.plus(LengthBand.of(cost.promptTokens()), tokens);
    }

    private record Sent(RequestCost cost, long sentNanos) {}
}
