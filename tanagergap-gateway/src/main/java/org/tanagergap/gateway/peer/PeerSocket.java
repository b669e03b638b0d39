package org.tanagergap.gateway.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;

/** Sends datagrams to peers and receives theirs. Confined to the event loop. */
final class PeerSocket implements Service {

    /**
     * Largest datagram. The default of 2 KB truncates the report of an instance with requests at
     * about 40 upstreams, and peers then take those upstreams for idle.
     */
    private static final int MAX_DATAGRAM_BYTES = 64 << 10;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Vertx mVertx;
    private final String mId;
    private final HostPort mAddress;
    private final Receiver mReceiver;
    private DatagramSocket mSocket;

    /** Receives the valid datagrams of other instances. */
    @FunctionalInterface
    interface Receiver {

        void received(PeerDatagram datagram, HostPort sender);
    }

    /**
     * Creates a socket that is not bound.
     *
     * @param id identifier of this instance, whose own datagrams are ignored
     */
    PeerSocket(Vertx vertx, String id, HostPort address, Receiver receiver) {
        mVertx = vertx;
        mId = id;
        mAddress = address;
        mReceiver = receiver;
    }

    @Override
    public CompletableFuture<Void> start() {
        DatagramSocketOptions options =
                new DatagramSocketOptions().setReceiveBufferSize(MAX_DATAGRAM_BYTES);
        mSocket = mVertx.createDatagramSocket(options);
        mSocket.handler(this::received);
        return Futures.toCompletable(mSocket.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mSocket == null ? Future.succeededFuture() : mSocket.close();
        return Futures.toCompletable(closed);
    }

    /** Sends a datagram to each of the addresses except this instance's own. */
    void send(PeerDatagram datagram, Iterable<HostPort> peers) {
        var bytes = datagram.encode();
        for (HostPort peer : peers) {
            if (!peer.equals(mAddress)) {
                mSocket.send(bytes, peer.port(), peer.host())
                        .onFailure(
                                failure ->
                                        sLogger.atFine().log(
                                                "datagram to %s was not sent: %s", peer, failure));
            }
        }
    }

    private void received(DatagramPacket packet) {
        Optional<PeerDatagram> datagram = PeerDatagram.decode(packet.data());
        if (datagram.isEmpty()) {
            sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "datagram of %d bytes from %s is malformed and is ignored",
                    packet.data().length(), packet.sender());
        } else if (!datagram.get().id().equals(mId)) {
            HostPort sender = new HostPort(packet.sender().host(), packet.sender().port());
            mReceiver.received(datagram.get(), sender);
        }
    }
}
