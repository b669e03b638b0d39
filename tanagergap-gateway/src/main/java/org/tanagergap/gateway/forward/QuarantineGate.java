package org.tanagergap.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.quarantine.PromptQuarantine;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.log.LogKeys;

/**
 * Applies the quarantine of prompt parts to the requests of this instance and feeds it with what
 * their attempts show. Confined to the event loop.
 */
public final class QuarantineGate {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final MetricRegistry mMetrics;
    private final CrashDetector mCrashes;
    private final PromptQuarantine mQuarantine = new PromptQuarantine(new Decisions());
    private final Set<RequestLifecycle> mActive = new HashSet<>();

    public QuarantineGate(
            RuntimeClock clock, MetricRegistry metrics, EngineAdminClient engineAdmin) {
        mClock = clock;
        mMetrics = metrics;
        mCrashes = new CrashDetector(clock, engineAdmin);
    }

    /** Decides on the crashes known by now and returns what peers should know. */
    public QuarantineUpdate nextUpdate() {
        long now = mClock.nanoTime();
        mQuarantine.decide(now);
        return mQuarantine.nextUpdate(now);
    }

    /** Accepts what a peer knows. */
    public void accept(QuarantineUpdate update) {
        mQuarantine.accept(update, mClock.nanoTime());
    }

    /** Returns the prompt parts in quarantine with the remaining time. */
    public Map<String, Duration> parts() {
        return mQuarantine.quarantined(mClock.nanoTime());
    }

    /** Returns the failure of a request that no engine must run. */
    Optional<RequestFailure> refusal(GatewayRequest request) {
        long now = mClock.nanoTime();
        return mQuarantine
                .quarantinedPart(request.sharedPromptParts(), now)
                .map(part -> refusal(part, mQuarantine.quarantined(now).get(part)));
    }

    private RequestFailure refusal(String part, Duration remaining) {
        mMetrics.counter("gateway_requests_quarantined").inc();
        return RequestFailure.notRun(
                        FailureCode.PROMPT_QUARANTINED,
                        "engines crashed on prompt part \"" + part + "\"")
                .withRetryAfter(remaining);
    }

    /** Records that the request is waiting or being forwarded. */
    void began(RequestLifecycle lifecycle) {
        if (!lifecycle.request().sharedPromptParts().isEmpty()) {
            mActive.add(lifecycle);
        }
    }

    void ended(RequestLifecycle lifecycle) {
        mActive.remove(lifecycle);
    }

    /** Records that an engine generates tokens for the request. */
    void tokensGenerated(GatewayRequest request) {
        mQuarantine.tokensGenerated(request.sharedPromptParts(), mClock.nanoTime());
    }

    /** Records that the upstream was lost or is silent before it generated a token. */
    void connectionLost(Upstream upstream, RequestLifecycle lifecycle) {
        List<String> parts = lifecycle.request().sharedPromptParts();
        if (!parts.isEmpty()) {
            String request = lifecycle.exchange().id().value();
            mCrashes.connectionLost(
                    upstream, request, crashed -> engineCrashed(crashed, request, parts));
        }
    }

    private void engineCrashed(Upstream upstream, String request, List<String> parts) {
        mMetrics.counter("gateway_crashes_before_first_token").inc();
        sLogger.atInfo()
                .with(LogKeys.UPSTREAM, upstream.id())
                .with(LogKeys.REQUEST_ID, request)
                .log("engine crashed before the first token; shared prompt parts %s", parts);
        mQuarantine.engineCrashed(upstream.incarnation(), request, parts, mClock.nanoTime());
    }

    /** Ends the requests in flight that would crash their engines. */
    private final class Decisions implements PromptQuarantine.Listener {

        @Override
        public void quarantined(String part, Duration duration, String reason) {
            sLogger.atWarning().log(
                    "prompt part %s is in quarantine for %d s: %s",
                    part, duration.toSeconds(), reason);
            for (RequestLifecycle lifecycle : List.copyOf(mActive)) {
                if (lifecycle.request().sharedPromptParts().contains(part)) {
                    lifecycle.promptQuarantined(refusal(part, duration));
                }
            }
        }

        @Override
        public void released(String part) {
            sLogger.atWarning().log(
                    "prompt part %s left quarantine: an engine generated tokens on it", part);
        }
    }
}
