package org.tanagergap.gateway.forward;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.runtime.http.BufferedCall;

/**
 * Finds out whether an upstream that lost the connection of a request has crashed. A lost
 * connection alone does not tell, because upstreams and networks also lose single connections.
 * Confined to the event loop.
 */
final class CrashDetector {

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final HttpClient mClient;
    private final WireFormat mWire;
    private final Map<Upstream, List<Consumer<Upstream>>> mWaiting = new HashMap<>();

    CrashDetector(HttpClient client, WireFormat wire) {
        mClient = client;
        mWire = wire;
    }

    /** Probes the upstream and calls the action if it does not respond. */
    void connectionLost(Upstream upstream, Consumer<Upstream> onCrash) {
        List<Consumer<Upstream>> waiting = mWaiting.get(upstream);
        if (waiting != null) {
            waiting.add(onCrash);
            return;
        }
        mWaiting.put(upstream, new ArrayList<>(List.of(onCrash)));
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(upstream.address().host())
                        .setPort(upstream.address().port())
                        .setConnectTimeout(TIMEOUT.toMillis())
                        .setURI(mWire.livenessPath());
        mClient.request(options)
                .compose(request -> BufferedCall.send(request, Optional.empty(), TIMEOUT))
                .onComplete(
                        ignored -> mWaiting.remove(upstream),
                        ignored -> mWaiting.remove(upstream).forEach(a -> a.accept(upstream)));
    }
}
