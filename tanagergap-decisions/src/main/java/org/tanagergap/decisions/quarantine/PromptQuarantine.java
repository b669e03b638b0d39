package org.tanagergap.decisions.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which prompt parts crash engines, so that requests with them are refused. A part is
 * suspected when an engine crashes before it has generated tokens for a request with that part, and
 * put into quarantine when engines crashed several times with no tokens in between. Requests that
 * share the caller or other parts are not affected.
 *
 * <p>Instances exchange crashes and tokens because each sees only its own requests, and every
 * instance repeats the quarantine, so that it outlives the instance that decided it. Confined to
 * the event loop.
 */
public final class PromptQuarantine {

    /** An engine that is sent the prompt again after this time may crash once more. */
    static final Duration QUARANTINE_TIME = Duration.ofMinutes(10);

    /** Number of updates that repeat a crash or token, because datagrams can be lost. */
    private static final int REPETITIONS = 8;

    private final CrashHistory mHistory = new CrashHistory();
    private final Map<String, Long> mQuarantinedUntilNanos = new LinkedHashMap<>();
    private final List<OwnCrash> mOwnCrashes = new ArrayList<>();
    private final Map<String, Integer> mClearedToSend = new HashMap<>();
    private final Listener mListener;

    /** Receives the decisions. */
    public interface Listener {

        /** Called when a part was put into quarantine. */
        void quarantined(String part, Duration duration, String reason);

        /** Called when a part left quarantine because an engine generated tokens on it. */
        void released(String part);
    }

    private static final class OwnCrash {
        private final EngineCrash mCrash;
        private final long mNanos;
        private int mRepetitions = REPETITIONS;

        OwnCrash(EngineCrash crash, long nanos) {
            mCrash = crash;
            mNanos = nanos;
        }
    }

    public PromptQuarantine(Listener listener) {
        mListener = listener;
    }

    /**
     * Records that an engine crashed before the request received a token.
     *
     * @param engine identifier of the engine's incarnation
     * @param parts parts of its prompt that other requests may share, in order
     */
    public void engineCrashed(String engine, String request, List<String> parts, long nowNanos) {
        EngineCrash crash = new EngineCrash(engine, request, parts, Duration.ZERO);
        if (!parts.isEmpty() && mHistory.add(crash, nowNanos)) {
            mOwnCrashes.add(new OwnCrash(crash, nowNanos));
        }
    }

    /** Records that an engine has generated tokens for a request with these parts. */
    public void tokensGenerated(Collection<String> parts, long nowNanos) {
        for (String part : parts) {
            mHistory.tokensGenerated(part, nowNanos);
            if (mHistory.hasCrash(part) || mQuarantinedUntilNanos.containsKey(part)) {
                mClearedToSend.put(part, REPETITIONS);
            }
            release(part);
        }
    }

    /** Returns the first of the parts that is in quarantine. */
    public Optional<String> quarantinedPart(Collection<String> parts, long nowNanos) {
        if (mQuarantinedUntilNanos.isEmpty()) {
            return Optional.empty();
        }
        expire(nowNanos);
        return parts.stream().filter(mQuarantinedUntilNanos::containsKey).findFirst();
    }

    /** Returns the parts in quarantine with the remaining time. */
    public Map<String, Duration> quarantined(long nowNanos) {
        expire(nowNanos);
        Map<String, Duration> remaining = new LinkedHashMap<>();
        mQuarantinedUntilNanos.forEach(
                (part, until) -> remaining.put(part, Duration.ofNanos(until - nowNanos)));
        return remaining;
    }

    /** Decides on the crashes that are known by now; called periodically. */
    public void decide(long nowNanos) {
        expire(nowNanos);
        while (true) {
            Optional<Suspicion> cause = likeliestCause(nowNanos);
            if (cause.isEmpty()) {
                return;
            }
            Suspicion suspicion = cause.get();
            String reason =
                    suspicion.engines().size()
                            + " engines crashed at "
                            + suspicion.incidents()
                            + " times under "
                            + suspicion.requests().size()
                            + " requests";
            quarantine(suspicion.part(), QUARANTINE_TIME, reason, nowNanos);
        }
    }

    /** Returns what peers should know; each call counts as one repetition. */
    public QuarantineUpdate nextUpdate(long nowNanos) {
        List<EngineCrash> crashes = new ArrayList<>();
        for (OwnCrash own : mOwnCrashes) {
            own.mRepetitions--;
            Duration age = Duration.ofNanos(nowNanos - own.mNanos);
            EngineCrash crash = own.mCrash;
            crashes.add(new EngineCrash(crash.engine(), crash.request(), crash.parts(), age));
        }
        mOwnCrashes.removeIf(own -> own.mRepetitions == 0);
        Map<String, Duration> cleared = new HashMap<>();
        mClearedToSend.forEach(
                (part, left) -> cleared.put(part, mHistory.timeSinceTokens(part, nowNanos)));
        mClearedToSend.replaceAll((part, left) -> left - 1);
        mClearedToSend.values().removeIf(left -> left == 0);
        return new QuarantineUpdate(crashes, cleared, quarantined(nowNanos));
    }

    /** Accepts what a peer knows. */
    public void accept(QuarantineUpdate update, long nowNanos) {
        update.cleared().forEach((part, age) -> clear(part, nowNanos - age.toNanos()));
        for (EngineCrash crash : update.crashes()) {
            if (mHistory.add(crash, nowNanos)) {
                sendTokensSince(crash, nowNanos);
            }
        }
        update.quarantined()
                .forEach(
                        (part, remaining) -> {
                            // A known quarantine is not prolonged by a delayed report.
                            if (!mQuarantinedUntilNanos.containsKey(part)) {
                                adopt(part, remaining, nowNanos);
                            }
                        });
    }

    private void adopt(String part, Duration remaining, long nowNanos) {
        Duration elapsed = QUARANTINE_TIME.minus(remaining);
        if (!mHistory.hasTokensSince(part, nowNanos - elapsed.toNanos())) {
            quarantine(part, remaining, "reported by a peer", nowNanos);
        }
    }

    /** The peer that saw the crash may not know of tokens that were generated here since then. */
    private void sendTokensSince(EngineCrash crash, long nowNanos) {
        for (String part : crash.parts()) {
            if (mHistory.hasTokensSince(part, nowNanos - crash.age().toNanos())) {
                mClearedToSend.put(part, REPETITIONS);
            }
        }
    }

    private void clear(String part, long tokensNanos) {
        mHistory.tokensGenerated(part, tokensNanos);
        Long until = mQuarantinedUntilNanos.get(part);
        if (until != null && tokensNanos - (until - QUARANTINE_TIME.toNanos()) > 0) {
            release(part);
        }
    }

    /** Returns a part that is the likeliest cause of its crashes; empty while that is undecided. */
    private Optional<Suspicion> likeliestCause(long nowNanos) {
        Set<String> known = mQuarantinedUntilNanos.keySet();
        List<Suspicion> sufficient =
                mHistory.suspicions(known, nowNanos).stream()
                        .filter(Suspicion::isSufficient)
                        .toList();
        return sufficient.stream().filter(s -> prevailsOverAll(s, sufficient)).findFirst();
    }

    private static boolean prevailsOverAll(Suspicion suspicion, List<Suspicion> all) {
        return all.stream().allMatch(o -> o == suspicion || suspicion.prevailsOver(o));
    }

    private void quarantine(String part, Duration duration, String reason, long nowNanos) {
        mQuarantinedUntilNanos.put(part, nowNanos + duration.toNanos());
        mListener.quarantined(part, duration, reason);
    }

    private void release(String part) {
        if (mQuarantinedUntilNanos.remove(part) != null) {
            mListener.released(part);
        }
    }

    private void expire(long nowNanos) {
        mQuarantinedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    }
}
