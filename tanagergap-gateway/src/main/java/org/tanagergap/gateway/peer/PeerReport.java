package org.tanagergap.gateway.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.fleet.FleetSlowness;
import org.tanagergap.decisions.fleet.StreamTargets;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.gateway.membership.ReplicaProgress;

/**
 * Report that an instance sends to its peers several times a second, as one JSON datagram.
 *
 * @param id identifier of the sender
 * @param progress progress of its replica of the store
 * @param storeRead its reads of the store; empty if it is of an earlier version
 * @param loads load that its requests cause, by upstream
 * @param slowness evidence for slow upstreams that it has observed, by upstream
 * @param suspendedMillis remaining suspension of upstreams that it does not use, in ms
 * @param quarantine its crashes and quarantined prompt parts
 * @param rateLimits rate limits that upstreams advertise, by incarnation
 */
public record PeerReport(
        String id,
        ReplicaProgress progress,
        Optional<PeerRead> storeRead,
        Map<String, UpstreamLoad> loads,
        Map<String, FleetSlowness.Evidence> slowness,
        Map<String, Long> suspendedMillis,
        QuarantineUpdate quarantine,
        Map<String, RateLimitObservation> rateLimits)
        implements PeerDatagram {

    public PeerReport {
        Objects.requireNonNull(id, "id must not be null");
        loads = Map.copyOf(loads);
        slowness = Map.copyOf(slowness);
        suspendedMillis = Map.copyOf(suspendedMillis);
        rateLimits = Map.copyOf(rateLimits);
    }

    @Override
    public Buffer encode() {
        JsonObject upstreams = new JsonObject();
        JsonObject pending = new JsonObject();
        loads.forEach(
                (upstream, load) -> {
                    upstreams.put(upstream, UpstreamLoadCodec.encode(load));
                    if (!load.pending().equals(StreamTargets.NONE)) {
                        pending.put(upstream, UpstreamLoadCodec.encodePending(load));
                    }
                });
        JsonObject suspended = new JsonObject();
        suspendedMillis.forEach(suspended::put);
        JsonObject report = new JsonObject();
        QuarantineUpdateCodec.encode(quarantine, report);
        RateLimitCodec.encode(rateLimits, report);
        SlownessCodec.encode(slowness, report);
        storeRead.ifPresent(read -> PeerReadCodec.encode(read, report));
        return report.put("id", id)
                .put("epoch", progress.position().epoch())
                .put("revision", progress.position().revision())
                .put("last_change_epoch", progress.lastChange().epoch())
                .put("last_change", progress.lastChange().revision())
                .put("loads", upstreams)
                .put("pending", pending)
                .put("suspended", suspended)
                .toBuffer();
    }

    /** Throws {@link ClassCastException} or another runtime exception for malformed fields. */
    static PeerReport decode(JsonObject json) {
        Map<String, UpstreamLoad> loads = new HashMap<>();
        JsonObject pending = json.getJsonObject("pending", new JsonObject());
        for (Map.Entry<String, Object> entry : json.getJsonObject("loads")) {
            JsonArray load = (JsonArray) entry.getValue();
            loads.put(
                    entry.getKey(),
                    UpstreamLoadCodec.decode(
                            load, pending.getJsonArray(entry.getKey(), new JsonArray())));
        }
        Map<String, Long> suspended = new HashMap<>();
        for (Map.Entry<String, Object> entry : json.getJsonObject("suspended")) {
            suspended.put(entry.getKey(), PeerNumbers.millis(entry.getValue()));
        }
        return new PeerReport(
                json.getString("id"),
                progress(json),
                PeerReadCodec.decode(json),
                loads,
                SlownessCodec.decode(json),
                suspended,
                QuarantineUpdateCodec.decode(json),
                RateLimitCodec.decode(json));
    }

    /** Peers of earlier versions send no epoch. */
    private static ReplicaProgress progress(JsonObject json) {
        return new ReplicaProgress(
                new StorePosition(
                        PeerNumbers.position(json.getValue("epoch", 0)),
                        PeerNumbers.position(json.getValue("revision"))),
                new StorePosition(
                        PeerNumbers.position(json.getValue("last_change_epoch", 0)),
                        PeerNumbers.position(json.getValue("last_change"))));
    }
}
