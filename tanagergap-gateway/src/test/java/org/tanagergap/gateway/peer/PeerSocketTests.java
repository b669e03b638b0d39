package org.tanagergap.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.fleet.StreamTargets;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.gateway.membership.ReplicaProgress;
import org.tanagergap.runtime.settings.FreeAddresses;
import org.tanagergap.runtime.settings.HostPort;

/** Guards the exchange of reports against the size that the load of many upstreams gives them. */
final class PeerSocketTests {

    private static final int UPSTREAMS = 500;

    private final Vertx mVertx = Vertx.vertx();
    private final BlockingQueue<PeerDatagram> mReceived = new LinkedBlockingQueue<>();
    private HostPort mReceiverAddress;
    private PeerSocket mSender;

    @BeforeEach
    void startSockets() throws IOException {
        List<HostPort> addresses = FreeAddresses.find(2);
        mReceiverAddress = addresses.get(0);
        mSender = new PeerSocket(mVertx, "sender", addresses.get(1), (datagram, from) -> {});
        PeerSocket receiver =
                new PeerSocket(
                        mVertx,
                        "receiver",
                        mReceiverAddress,
                        (datagram, from) -> mReceived.add(datagram));
        receiver.start().join();
        mSender.start().join();
    }

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void aReportOfManyUpstreamsIsReceivedAsAWhole() throws Exception {
        PeerReport report = report(UPSTREAMS);

        mSender.send(report, List.of(mReceiverAddress));

        // Compared as a boolean, since a failure would print the whole report.
        PeerDatagram received = mReceived.poll(10, TimeUnit.SECONDS);
        assertThat(report.equals(received)).isTrue();
    }

    private static PeerReport report(int upstreams) {
        StreamTargets targets = StreamTargets.of(250, 13.25);
        Map<String, UpstreamLoad> loads = new HashMap<>();
        for (int i = 0; i < upstreams; i++) {
            loads.put(
                    "i-000000" + i,
                    new UpstreamLoad(8, targets, 4, 1_000, 315_000, StreamTargets.of(300, 1.5)));
        }
        return new PeerReport(
                "sender",
                new ReplicaProgress(new StorePosition(1, 70_000), new StorePosition(1, 70_000)),
                Optional.of(new PeerRead("a", Optional.of(Duration.ofMillis(90)), true, 2)),
                loads,
                Map.of(),
                Map.of(),
                new QuarantineUpdate(List.of(), Map.of(), Map.of()),
                Map.of());
    }
}
