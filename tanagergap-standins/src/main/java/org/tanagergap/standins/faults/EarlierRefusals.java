package org.tanagergap.standins.faults;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sends refusals and remembers the last one of each connection. A faulty server sends it a second
 * time on the kept connection, where the response to the next request is expected.
 */
public final class EarlierRefusals {

    private record Refusal(int status, JsonObject body) {}

    private final Map<HttpConnection, Refusal> mLast = new ConcurrentHashMap<>();

    /** Sends a refusal, which is remembered until its connection closes. */
    public void refuse(RoutingContext context, int status, JsonObject body) {
        Refusal refusal = new Refusal(status, body);
        HttpConnection connection = context.request().connection();
        mLast.put(connection, refusal);
        connection.closeHandler(ignored -> mLast.remove(connection));
        send(context, refusal);
    }

    /** Sends the last refusal of the connection again; returns false if there was none. */
    public boolean sendAgain(RoutingContext context) {
        Optional<Refusal> last = Optional.ofNullable(mLast.get(context.request().connection()));
        last.ifPresent(refusal -> send(context, refusal));
        return last.isPresent();
    }

    private static void send(RoutingContext context, Refusal refusal) {
        context.response().setStatusCode(refusal.status());
        context.json(refusal.body());
    }
}
