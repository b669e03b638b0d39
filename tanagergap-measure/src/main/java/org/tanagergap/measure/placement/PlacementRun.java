package org.tanagergap.measure.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.fleet.ConcurrentPlacements;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.InFlightRequest;
import org.tanagergap.decisions.fleet.LengthAwarePlacement;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.fleet.PlacementPolicy;
import org.tanagergap.decisions.fleet.PlacementRequest;
import org.tanagergap.decisions.fleet.UpstreamCandidate;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.measure.placement.LoadProfile.RouteLoad;

/**
 * Plays a load over model engines. Each instance places its share of the requests by the decisions
 * of the gateway, and knows the load from the others by their reports only.
 */
final class PlacementRun {

    /** Usual interval of reports. */
    static final double REPORT_INTERVAL_MILLIS = 100;

    private static final double SAMPLE_INTERVAL_MILLIS = 50;
    private static final double HIGH_QUANTILE = 0.99;

    /** Prefills of at least this time are reported ahead of schedule. */
    private static final double ANNOUNCED_PREFILL_MILLIS = 100;

    private static final double ANNOUNCE_DELAY_MILLIS = 15;
    private static final double RECHECK_MILLIS = 15;
    private static final double ROUND_TRIP_MILLIS = 8;
    private static final int CHUNK_TOKENS = 2048;
    private static final int OUTPUT_TOKENS_PER_EVENT = 60;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final LoadProfile mLoad;
    private final double mReportIntervalMillis;
    private final double mReportDelayMillis;
    private final Random mRandom;
    private final EventQueue mTime = new EventQueue();
    private final Map<String, EngineModel> mEngines = new HashMap<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<SimulatedRequest> mRequests = new ArrayList<>();
    private int mArrivals;
    private int mRejected;
    private int mQueued;
    private double mBusiestToMean;
    private int mSamples;

    private static final class Instance {
        private final String mId;
        private final PlacementPolicy mPolicy;
        private final ConcurrentPlacements mOthers;
        private final FleetLoad mLoads = new FleetLoad();

        private Instance(String id, PlacementPolicy policy, int instances) {
            mOthers = new ConcurrentPlacements(() -> instances, mLoads::reportAges);
            mId = id;
            mPolicy = policy;
        }
    }

    /**
     * What callers got.
     *
     * @param inTime share of the requests of each route within their targets
     * @param firstTokenP99Millis 99th percentile of the time to the first token of each route, in
     *     ms
     * @param rejectedShare share of the arrivals at engines that found no slot and a full queue
     * @param queuedShare share of the arrivals at engines that had to wait for a slot
     * @param busiestToMean requests on the busiest engine by the mean of all, as a mean over time
     */
    record Result(
            Map<String, Double> inTime,
            Map<String, Double> firstTokenP99Millis,
            double rejectedShare,
            double queuedShare,
            double busiestToMean) {}

    PlacementRun(LoadProfile load, double reportDelayMillis, long seed) {
        this(load, REPORT_INTERVAL_MILLIS, reportDelayMillis, seed);
    }

    /**
     * Creates a run.
     *
     * @param reportIntervalMillis interval at which reports of an instance arrive; longer than the
     *     usual one if reports are lost
     * @param reportDelayMillis transfer time of a report, which receivers cannot tell
     */
    PlacementRun(
            LoadProfile load, double reportIntervalMillis, double reportDelayMillis, long seed) {
        mLoad = load;
        mReportIntervalMillis = reportIntervalMillis;
        mReportDelayMillis = reportDelayMillis;
        mRandom = new Random(seed);
        for (int i = 0; i < load.engines(); i++) {
            mEngines.put("engine-" + i, new EngineModel(load.engine(), CHUNK_TOKENS, 1));
        }
        for (int i = 0; i < load.instances(); i++) {
            mInstances.add(
                    new Instance(
                            "instance-" + i,
                            new LengthAwarePlacement(new Random(seed + i)),
                            load.instances()));
        }
    }

    /** Plays the load for that long and waits for the requests that are left. */
    Result play(double millis) {
        for (RouteLoad route : mLoad.routes()) {
            scheduleArrival(route, millis);
        }
        for (int i = 0; i < mInstances.size(); i++) {
            Instance instance = mInstances.get(i);
            double first = mRandom.nextDouble() * mReportIntervalMillis;
            mTime.at(first, () -> reportPeriodically(instance));
        }
        mTime.at(MILLIS_PER_SECOND, () -> sampleLoad(millis));
        mTime.runUntil(millis + 20 * MILLIS_PER_SECOND);
        return result();
    }

    private Result result() {
        Map<String, Double> inTime = new TreeMap<>();
        Map<String, Double> firstTokens = new TreeMap<>();
        for (RouteLoad route : mLoad.routes()) {
            List<SimulatedRequest> all =
                    mRequests.stream().filter(r -> r.route().equals(route)).toList();
            long good = all.stream().filter(SimulatedRequest::inTime).count();
            inTime.put(route.name(), all.isEmpty() ? 1 : (double) good / all.size());
            double[] sorted =
                    all.stream().mapToDouble(SimulatedRequest::firstTokenMillis).sorted().toArray();
            int index = (int) (HIGH_QUANTILE * sorted.length);
            firstTokens.put(route.name(), sorted.length == 0 ? 0 : sorted[index]);
        }
        double arrivals = Math.max(1, mArrivals);
        return new Result(
                inTime,
                firstTokens,
                mRejected / arrivals,
                mQueued / arrivals,
                mBusiestToMean / Math.max(1, mSamples));
    }

    private void sampleLoad(double end) {
        IntSummaryStatistics requests =
                mEngines.values().stream().mapToInt(EngineModel::requests).summaryStatistics();
        if (requests.getMax() > 0) {
            mBusiestToMean += requests.getMax() / requests.getAverage();
            mSamples++;
        }
        if (mTime.now() < end) {
            mTime.after(SAMPLE_INTERVAL_MILLIS, () -> sampleLoad(end));
        }
    }

    private void scheduleArrival(RouteLoad route, double end) {
        double gap = -Math.log(1 - mRandom.nextDouble()) * MILLIS_PER_SECOND / route.perSecond();
        double arrival = mTime.now() + gap;
        if (arrival > end) {
            return;
        }
        mTime.at(
                arrival,
                () -> {
                    arrive(route);
                    scheduleArrival(route, end);
                });
    }

    private void arrive(RouteLoad route) {
        double factor =
                Math.exp(
                        route.spread() * mRandom.nextGaussian()
                                - route.spread() * route.spread() / 2);
        long tokens = Math.max(100, (long) (route.promptTokens() * factor));
        RequestCost cost = new RequestCost(tokens, route.events() * OUTPUT_TOKENS_PER_EVENT);
        SimulatedRequest request = new SimulatedRequest(route, cost, route.events(), mTime.now());
        mRequests.add(request);
        place(request, mInstances.get(mRandom.nextInt(mInstances.size())));
    }

    private void place(SimulatedRequest request, Instance instance) {
        if (request.expired(mTime.now())) {
            return;
        }
        PlacementRequest asked =
                request.placementRequest(
                        mTime.now(), instance.mOthers.unreported(mTime.nowNanos()));
        Optional<Placement> placement = instance.mPolicy.choose(asked, candidates(instance));
        if (placement.isEmpty()) {
            mTime.after(RECHECK_MILLIS, () -> place(request, instance));
            return;
        }
        send(request, instance, placement.get(), asked);
    }

    private List<UpstreamCandidate> candidates(Instance instance) {
        List<UpstreamCandidate> candidates = new ArrayList<>();
        for (String id : mEngines.keySet()) {
            candidates.add(
                    new UpstreamCandidate(
                            id,
                            mLoad.engine().slots(),
                            Optional.of(mLoad.engine()),
                            instance.mLoads.totalLoad(id, mTime.nowNanos()),
                            1,
                            1,
                            false));
        }
        return candidates;
    }

    private void send(
            SimulatedRequest request,
            Instance instance,
            Placement placement,
            PlacementRequest asked) {
        instance.mOthers.placed(mTime.nowNanos());
        int parts = 1 + placement.helpers().size();
        double prefill = mLoad.engine().prefillMillis(request.cost().promptTokens()) / parts;
        List<String> used = new ArrayList<>(placement.helpers());
        used.add(placement.upstream());
        for (String id : used) {
            boolean decodes = id.equals(placement.upstream());
            InFlightRequest.Demand demand =
                    new InFlightRequest.Demand(
                            placement.costAt(id, request.cost()),
                            prefill,
                            decodes,
                            asked.interTokenTargetMillis(),
                            asked.firstTokenSlackMillis(),
                            asked.loss());
            request.loads().add(instance.mLoads.begin(id, demand, mTime.nowNanos()));
        }
        if (prefill >= ANNOUNCED_PREFILL_MILLIS) {
            mTime.after(ANNOUNCE_DELAY_MILLIS, () -> sendReport(instance));
        }
        mTime.after(
                ROUND_TRIP_MILLIS / 2, () -> engineReceives(request, instance, placement, parts));
    }

    private void engineReceives(
            SimulatedRequest request, Instance instance, Placement placement, int parts) {
        mArrivals++;
        EngineModel primary = mEngines.get(placement.upstream());
        if (!primary.accepts()) {
            mRejected++;
            mTime.after(
                    ROUND_TRIP_MILLIS / 2,
                    () -> {
                        release(request, instance);
                        place(request, instance);
                    });
            return;
        }
        if (primary.slotsTaken()) {
            mQueued++;
        }
        request.placed(parts);
        add(placement.upstream(), new EngineWork(request, mLoad.engine(), parts, true));
        for (String helper : placement.helpers()) {
            add(helper, new EngineWork(request, mLoad.engine(), parts, false));
        }
        watch(request, instance);
    }

    private void add(String engine, EngineWork work) {
        EngineModel model = mEngines.get(engine);
        model.add(work);
        if (!model.busy()) {
            startPass(model);
        }
    }

    private void startPass(EngineModel engine) {
        if (engine.idle()) {
            return;
        }
        double duration = engine.startPass();
        mTime.after(
                duration,
                () -> {
                    engine.endPass(mTime.now());
                    startPass(engine);
                });
    }

    /** Frees the load of a request soon after its last event. */
    private void watch(SimulatedRequest request, Instance instance) {
        if (request.complete()) {
            release(request, instance);
        } else {
            mTime.after(RECHECK_MILLIS, () -> watch(request, instance));
        }
    }

    private static void release(SimulatedRequest request, Instance instance) {
        request.loads().forEach(instance.mLoads::end);
        request.loads().clear();
    }

    private void reportPeriodically(Instance instance) {
        sendReport(instance);
        mTime.after(mReportIntervalMillis, () -> reportPeriodically(instance));
    }

    private void sendReport(Instance sender) {
        Map<String, UpstreamLoad> loads = sender.mLoads.localLoads(mTime.nowNanos());
        mTime.after(mReportDelayMillis, () -> receiveReport(sender, loads));
    }

    private void receiveReport(Instance sender, Map<String, UpstreamLoad> loads) {
        for (Instance peer : mInstances) {
            if (peer != sender) {
                peer.mLoads.peerReported(sender.mId, loads, mTime.nowNanos());
            }
        }
    }
}
