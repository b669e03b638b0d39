package org.tanagergap.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tanagergap.api.time.RuntimeClock;

/** Publishes cache events after a delay and drops every n-th. Confined to the event loop. */
final class CacheEventFeed {

    private final RuntimeClock mClock;
    private final Duration mDelay;
    private final int mDropEvery;
    private final List<HttpServerResponse> mSubscribers = new ArrayList<>();

    CacheEventFeed(RuntimeClock clock, Duration delay, int dropEvery) {
        mClock = clock;
        mDelay = delay;
        mDropEvery = dropEvery;
    }

    void publish(StandInCacheEvent event) {
        if (mDropEvery > 0 && event.sequence() % mDropEvery == 0) {
            return;
        }
        String data =
                new JsonObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.kind())
                        .put("cache_salt", event.cacheSalt())
                        .put("prefix_hash", Long.toHexString(event.prefixHash()))
                        .encode();
        mClock.schedule(mDelay, () -> send(data));
    }

    void subscribe(HttpServerResponse response) {
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        response.closeHandler(ignored -> mSubscribers.remove(response));
        // Sends the response head at once, so that the subscriber can detect the connection.
        response.write(": connected\n\n");
        mSubscribers.add(response);
    }

    private void send(String data) {
        for (HttpServerResponse subscriber : List.copyOf(mSubscribers)) {
            subscriber.write("data: " + data + "\n\n");
        }
    }
}
