package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.quarantine.CrashConfirmation;
import org.tanagergap.decisions.quarantine.CrashConfirmation.Probe;
import org.tanagergap.decisions.quarantine.CrashConfirmation.Verdict;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.http.BufferedCall;

/**
 * Finds out whether an upstream that lost the connection of a request has crashed. A lost
 * connection alone does not tell, because upstreams and networks also lose single connections.
 * Confined to the event loop.
 */
final class CrashDetector {

    /** Time from a probe without a response to the next one. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    private final RuntimeClock mClock;
    private final EngineAdminClient mEngineAdmin;
    private final Map<Upstream, Map<String, Consumer<Upstream>>> mWaiting = new HashMap<>();

    CrashDetector(RuntimeClock clock, EngineAdminClient engineAdmin) {
        mClock = clock;
        mEngineAdmin = engineAdmin;
    }

    /**
     * Probes the upstream and calls the action if it has crashed, once for a request that is
     * reported several times meanwhile.
     */
    void connectionLost(Upstream upstream, String request, Consumer<Upstream> onCrash) {
        boolean probing = mWaiting.containsKey(upstream);
        mWaiting.computeIfAbsent(upstream, ignored -> new LinkedHashMap<>())
                .putIfAbsent(request, onCrash);
        if (!probing) {
            probe(upstream, new CrashConfirmation(mClock.nanoTime()));
        }
    }

    private void probe(Upstream upstream, CrashConfirmation confirmation) {
        mEngineAdmin
                .status(upstream.address())
                .onComplete(
                        response -> probed(upstream, confirmation, result(upstream, response)),
                        failure -> probed(upstream, confirmation, result(failure)));
    }

    private void probed(Upstream upstream, CrashConfirmation confirmation, Probe probe) {
        Verdict verdict = confirmation.probed(probe, mClock.nanoTime());
        if (verdict == Verdict.UNDECIDED) {
            mClock.schedule(PROBE_INTERVAL, () -> probe(upstream, confirmation));
            return;
        }
        Map<String, Consumer<Upstream>> waiting = mWaiting.remove(upstream);
        if (verdict == Verdict.CRASHED) {
            waiting.values().forEach(onCrash -> onCrash.accept(upstream));
        }
    }

    private Probe result(Upstream upstream, BufferedCall.Response response) {
        return mEngineAdmin.hasRestarted(upstream, response) ? Probe.GONE : Probe.RUNNING;
    }

    /** A running engine may reset a connection, when it has too many, or respond with damage. */
    private static Probe result(Throwable failure) {
        if (EngineAdminClient.isRefused(failure)) {
            return Probe.GONE;
        }
        return EngineAdminClient.isSilent(failure) ? Probe.SILENT : Probe.RUNNING;
    }
}
