package org.tanagergap.measure.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.HdrHistogram.Histogram;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.measure.workload.RequestClass;
import org.tanagergap.measure.workload.RequestRecord;
import org.tanagergap.standins.engine.RunState;
import org.tanagergap.testing.PausedClock;

/** Simulation of a fleet in virtual time, reproducible for a given seed. */
public final class FleetRun {

    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";
    private static final long MAX_GAP_NANOS = Duration.ofMinutes(10).toNanos();

    private final PausedClock mClock = new PausedClock();
    private final FleetSettings mSettings;
    private final List<EntryModel> mEntries = new ArrayList<>();
    private final Map<String, AgentModel> mAgents = new LinkedHashMap<>();
    private final List<RequestRecord> mRequests = new ArrayList<>();
    private final Histogram mTokenGaps = new Histogram(MAX_GAP_NANOS, 3);
    private final RandomGenerator mRandom;
    private long mNextRequest;

    public FleetRun(FleetSettings settings, Policy policy, long seed) {
        mSettings = settings;
        mRandom = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
        List<AgentEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < settings.runners(); i++) {
            String name = "engine-%02d".formatted(i);
            String domain = domainName(i % settings.failureDomains());
            endpoints.add(new AgentEndpoint(name, EntryModel.SERVICE, "127.0.0.1:1", domain));
            mAgents.put(
                    name,
                    new AgentModel(
                            mClock,
                            name,
                            policy.scheduler().apply(mClock),
                            settings,
                            policy.priority()));
        }
        for (int i = 0; i < settings.failureDomains(); i++) {
            mEntries.add(createEntry(policy, domainName(i), endpoints));
        }
    }

    /** Schedules the arrivals of a request class for part of the run. */
    public void offer(RequestClass requestClass, Duration from, Duration until) {
        scheduleArrival(requestClass, from, until);
    }

    /** Schedules a progress report of all running requests at the given time since the start. */
    public void recordProgressAt(Duration time) {
        mClock.schedule(
                time.minus(elapsed()), () -> mAgents.values().forEach(AgentModel::reportProgress));
    }

    /** Advances the virtual clock and runs the tasks that become due. */
    public void advance(Duration duration) {
        mClock.advance(duration);
    }

    public List<RequestRecord> requests() {
        return Collections.unmodifiableList(mRequests);
    }

    /** Times between tokens, in nanoseconds. */
    public Histogram tokenGaps() {
        return mTokenGaps;
    }

    public FleetSettings settings() {
        return mSettings;
    }

    /** Time since the start of the run. */
    public Duration elapsed() {
        return Duration.ofNanos(mClock.nanoTime());
    }

    /** Returns the tokens reserved in schedulers plus the memory of engine runs, in tokens. */
    public long memoryUnaccountedFor() {
        long tokens = 0;
        for (AgentModel agent : mAgents.values()) {
            tokens += agent.scheduler().reservedTokens();
            for (RunState run : agent.engine().runs()) {
                tokens += run.memoryTokens();
            }
        }
        return tokens;
    }

    private EntryModel createEntry(Policy policy, String domain, List<AgentEndpoint> endpoints) {
        Map<String, Link> links = new LinkedHashMap<>();
        for (AgentEndpoint endpoint : endpoints) {
            Duration delay =
                    endpoint.failureDomain().equals(domain)
                            ? Duration.ofNanos(200_000)
                            : mSettings.crossDomainDelay();
            links.put(endpoint.name(), new Link(mClock, mRandom, mSettings, delay));
        }
        return new EntryModel(
                mClock,
                mSettings,
                policy,
                policy.router().create(mClock, domain, mRandom),
                mAgents,
                links,
                endpoints,
                gap -> mTokenGaps.recordValue(Math.min(gap, MAX_GAP_NANOS)));
    }

    private void scheduleArrival(RequestClass requestClass, Duration from, Duration until) {
        Duration next = from.plus(requestClass.nextArrival(mRandom));
        if (next.compareTo(until) >= 0) {
            return;
        }
        mClock.schedule(
                next.minus(elapsed()),
                () -> {
                    createRequest(requestClass);
                    scheduleArrival(requestClass, next, until);
                });
    }

    private void createRequest(RequestClass requestClass) {
        RequestCost cost =
                new RequestCost(
                        requestClass.nextPromptTokens(mRandom), requestClass.outputTokens());
        RequestRecord request = new RequestRecord(requestClass, cost, mClock.nanoTime());
        mRequests.add(request);
        RequestId id = new RequestId("r" + mNextRequest++);
        EntryModel entry = mEntries.get(mRandom.nextInt(mEntries.size()));
        mClock.schedule(mSettings.clientDelay(), () -> entry.accept(id, request));
    }

    private static String domainName(int index) {
        return "fd-" + (char) ('a' + index);
    }
}
