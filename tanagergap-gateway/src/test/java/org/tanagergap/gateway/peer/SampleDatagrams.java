package org.tanagergap.gateway.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.fleet.FleetSlowness;
import org.tanagergap.decisions.fleet.StreamTargets;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.decisions.quarantine.EngineCrash;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.decisions.ratelimit.PermitGrant;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.gateway.membership.ReplicaProgress;

/** Datagrams with a value in each field. */
final class SampleDatagrams {

    static final PeerReport REPORT =
            new PeerReport(
                    "gateway-1",
                    new ReplicaProgress(new StorePosition(2, 77), new StorePosition(2, 70)),
                    Optional.of(new PeerRead("a", Optional.of(Duration.ofMillis(90)), true, 2)),
                    Map.of(
                            "e1",
                            new UpstreamLoad(
                                    3,
                                    StreamTargets.of(250, 1.6),
                                    1,
                                    40,
                                    15_000,
                                    StreamTargets.of(300, 1.5))),
                    Map.of("e6", new FleetSlowness.Evidence(1.5, 4)),
                    Map.of("e2", 400L),
                    new QuarantineUpdate(
                            List.of(
                                    new EngineCrash(
                                            "e3@5", "r1", List.of("p1"), Duration.ofMillis(80))),
                            Map.of("p2", Duration.ofMillis(20)),
                            Map.of("p3", Duration.ofMillis(9000))),
                    Map.of(
                            "e4@1",
                            new RateLimitObservation(OptionalDouble.of(1.5), Duration.ofMillis(30)),
                            "e5@1",
                            new RateLimitObservation(
                                    OptionalDouble.empty(), Duration.ofMillis(40))));

    static final PermitMessage PERMITS =
            new PermitMessage(
                    "gateway-1", Map.of("e4@1", 2), Map.of("e5@1", new PermitGrant(1, 0.5)));

    private SampleDatagrams() {}
}
