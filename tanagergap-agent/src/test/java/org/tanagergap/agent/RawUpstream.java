package org.tanagergap.agent;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An upstream whose responses a test writes byte by byte. */
public final class RawUpstream implements AutoCloseable {

    private final Vertx mVertx = Vertx.vertx();
    private final NetServer mServer;

    /**
     * Starts the upstream.
     *
     * @param onConnect called with each connection that is opened
     */
    public RawUpstream(Consumer<NetSocket> onConnect) throws Exception {
        mServer =
                mVertx.createNetServer()
                        .connectHandler(onConnect::accept)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS);
    }

    public Vertx vertx() {
        return mVertx;
    }

    public String url() {
        return "http://127.0.0.1:" + mServer.actualPort();
    }

    @Override
    public void close() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
