package org.tanagergap.gateway.forward;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Finds out whether an upstream that lost the connection of a request has crashed. A lost
 * connection alone does not tell, because upstreams and networks also lose single connections.
 * Confined to the event loop.
 */
final class CrashDetector {

    private final EngineAdminClient mEngineAdmin;
    private final Map<Upstream, List<Consumer<Upstream>>> mWaiting = new HashMap<>();

    CrashDetector(EngineAdminClient engineAdmin) {
        mEngineAdmin = engineAdmin;
    }

    /** Probes the upstream and calls the action if it accepts no connection or is silent. */
    void connectionLost(Upstream upstream, Consumer<Upstream> onCrash) {
        List<Consumer<Upstream>> waiting = mWaiting.get(upstream);
        if (waiting != null) {
            waiting.add(onCrash);
            return;
        }
        mWaiting.put(upstream, new ArrayList<>(List.of(onCrash)));
        mEngineAdmin
                .status(upstream.address())
                .onComplete(
                        ignored -> mWaiting.remove(upstream),
                        failure -> probeFailed(upstream, failure));
    }

    private void probeFailed(Upstream upstream, Throwable failure) {
        List<Consumer<Upstream>> waiting = mWaiting.remove(upstream);
        if (isGone(failure)) {
            waiting.forEach(onCrash -> onCrash.accept(upstream));
        }
    }

    /** A running engine may reset a connection, when it has too many, or respond with damage. */
    private static boolean isGone(Throwable failure) {
        return failure instanceof ConnectException || failure instanceof TimeoutException;
    }
}
