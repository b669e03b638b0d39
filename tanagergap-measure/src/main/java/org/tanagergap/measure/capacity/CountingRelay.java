package org.tanagergap.measure.capacity;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagergap.runtime.async.Futures;

/** TCP relay to a loopback port that counts the bytes of both directions. */
final class CountingRelay {

    private static final String HOST = "127.0.0.1";

    private final AtomicLong mBytes = new AtomicLong();
    private final NetClient mClient;
    private final NetServer mServer;
    private final int mTargetPort;

    CountingRelay(Vertx vertx, int targetPort) {
        mTargetPort = targetPort;
        mClient = vertx.createNetClient();
        mServer = vertx.createNetServer().connectHandler(this::connect);
    }

    /** Starts listening and returns the port. */
    int start() throws ExecutionException, InterruptedException {
        return Futures.toCompletable(mServer.listen(0, HOST)).get().actualPort();
    }

    /** Returns the number of bytes relayed so far. */
    long bytes() {
        return mBytes.get();
    }

    private void connect(NetSocket from) {
        from.pause();
        mClient.connect(mTargetPort, HOST)
                .onSuccess(
                        to -> {
                            relay(from, to);
                            relay(to, from);
                            from.resume();
                        })
                .onFailure(failure -> from.close());
    }

    private void relay(NetSocket from, NetSocket to) {
        from.handler(
                buffer -> {
                    mBytes.addAndGet(buffer.length());
                    to.write(buffer);
                });
        from.closeHandler(ignored -> to.close());
    }
}
