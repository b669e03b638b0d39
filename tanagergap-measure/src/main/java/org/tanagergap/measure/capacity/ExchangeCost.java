package org.tanagergap.measure.capacity;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.server.GrpcServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.protocol.v1.ExchangeReply;
import org.tanagergap.protocol.v1.ExchangeRequest;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.RankLoad;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcClient;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcService;
import org.tanagergap.runtime.async.Futures;

/** Bytes and processor time of the periodic exchange between an entry and an agent. */
final class ExchangeCost {

    private static final String HOST = "127.0.0.1";
    private static final int CALLS_PER_ROUND = 35;

    /**
     * Agents start with a revision below 2^27, which takes four bytes on the wire, and count up.
     */
    private static final long PREFIX_REVISION = 1L << 26;

    private static final List<Integer> ROUND_COUNTS = List.of(100, 200, 400);

    private ExchangeCost() {}

    static List<Slope> measure() throws ExecutionException, InterruptedException {
        Vertx vertx = Vertx.vertx();
        try {
            HttpServer server =
                    Futures.toCompletable(
                                    vertx.createHttpServer()
                                            .requestHandler(agentService(vertx))
                                            .listen(0, HOST))
                            .get();
            CountingRelay relay = new CountingRelay(vertx, server.actualPort());
            int relayPort = relay.start();
            GrpcClient client = GrpcClient.client(vertx);
            exchange(client, server.actualPort(), ROUND_COUNTS.get(0), PREFIX_REVISION);
            exchange(client, relayPort, 1, PREFIX_REVISION);
            return List.of(
                    bytes(client, relayPort, relay, PREFIX_REVISION),
                    bytes(client, relayPort, relay, PREFIX_REVISION - 1),
                    time(client, server.actualPort()));
        } finally {
            Futures.toCompletable(vertx.close()).get();
        }
    }

    private static Slope bytes(
            GrpcClient client, int port, CountingRelay relay, long knownPrefixRevision) {
        String prefixes = knownPrefixRevision == PREFIX_REVISION ? "unchanged" : "changed";
        Slope bytes =
                new Slope(
                        "one exchange on the wire, both directions, prefixes " + prefixes, "bytes");
        for (int rounds : ROUND_COUNTS) {
            long before = relay.bytes();
            exchange(client, port, rounds, knownPrefixRevision);
            bytes.add((double) rounds * CALLS_PER_ROUND, relay.bytes() - before);
        }
        return bytes;
    }

    private static Slope time(GrpcClient client, int port) {
        Slope time = new Slope("one exchange, processor time of entry and agent together", "ns");
        for (int rounds : ROUND_COUNTS) {
            time.add(
                    (double) rounds * CALLS_PER_ROUND,
                    ResourceMeter.cpuNanos(() -> exchange(client, port, rounds, PREFIX_REVISION)));
        }
        return time;
    }

    /** Sends rounds of concurrent calls, as an entry does to the agents of its subset. */
    private static void exchange(
            GrpcClient client, int port, int rounds, long knownPrefixRevision) {
        UpstreamAgentGrpcClient agent =
                UpstreamAgentGrpcClient.create(client, SocketAddress.inetSocketAddress(port, HOST));
        ExchangeRequest request =
                ExchangeRequest.newBuilder()
                        .setEntryId("entry-001")
                        .setConfigurationVersion(65_000)
                        .setKnownPrefixRevision(knownPrefixRevision)
                        .build();
        for (int round = 0; round < rounds; round++) {
            List<Future<ExchangeReply>> replies = new ArrayList<>();
            for (int i = 0; i < CALLS_PER_ROUND; i++) {
                replies.add(agent.exchange(request));
            }
            Futures.toCompletable(Future.all(replies)).join();
        }
    }

    private static GrpcServer agentService(Vertx vertx) {
        ExchangeReply changed =
                ExchangeReply.newBuilder()
                        .setAgentId("engine-00001")
                        .setConfigurationVersion(65_000)
                        .setHint(hint(SampleHints.busy()))
                        .build();
        ExchangeReply.Builder builder = changed.toBuilder();
        builder.getHintBuilder().clearPrefixHashes();
        ExchangeReply unchanged = builder.build();
        GrpcServer server = GrpcServer.server(vertx);
        server.addService(
                UpstreamAgentGrpcService.of(
                        new org.tanagergap.protocol.v1.UpstreamAgentService() {
                            @Override
                            public Future<ExchangeReply> exchange(ExchangeRequest request) {
                                boolean prefixesKnown =
                                        request.getKnownPrefixRevision() == PREFIX_REVISION;
                                return Future.succeededFuture(prefixesKnown ? unchanged : changed);
                            }
                        }));
        return server;
    }

    private static Hint hint(LoadHint hint) {
        Hint.Builder builder =
                Hint.newBuilder()
                        .setMemoryTokensTotal(hint.memoryTokensTotal())
                        .setMemoryTokensFree(hint.memoryTokensFree())
                        .setPrefillTokensQueued(hint.prefillTokensQueued())
                        .addPrefillTokensByBand(hint.prefillBacklog().shortTokens())
                        .addPrefillTokensByBand(hint.prefillBacklog().mediumTokens())
                        .addPrefillTokensByBand(hint.prefillBacklog().longTokens())
                        .setPrefillTokensPerSecond(hint.prefillTokensPerSecond())
                        .setConfigurationVersion(hint.configurationVersion())
                        .setUpstreamReady(hint.upstreamReady())
                        .setLoadReportAgeMs(hint.loadReportAge().toMillis())
                        .setBytesPerToken(4.2)
                        .setPrefixRevision(PREFIX_REVISION)
                        .addAllPrefixHashes(hint.prefixHashes());
        hint.ranks()
                .forEach(
                        (rank, load) ->
                                builder.addRanks(
                                        RankLoad.newBuilder()
                                                .setRank(rank)
                                                .setQueued(load.queued())
                                                .setQueuedTokens(load.queuedTokens())));
        return builder.build();
    }
}
