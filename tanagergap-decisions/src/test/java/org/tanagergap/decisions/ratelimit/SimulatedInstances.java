package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Instances that exchange reports and permits over links that delay and lose messages, and one
 * upstream with a limit. Advances in steps of 10 ms.
 */
final class SimulatedInstances {

    static final String UPSTREAM = "upstream@1";
    static final long STEP_NANOS = Duration.ofMillis(10).toNanos();
    private static final int REPORT_STEPS = 10;
    private static final int EXCHANGE_STEPS = 5;
    private static final int MAX_DELAY_STEPS = 2;
    private static final RateLimitNotice UNLIMITED = new RateLimitNotice.Unlimited();

    private final Random mRandom;
    private final double mLoss;
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Message> mMessages = new ArrayList<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private RateLimitNotice mNotice = UNLIMITED;
    private int mStarted;
    private boolean mPreferOthers;
    private int mGroups = 1;
    private int mRequestsPerStep = 1;
    private long mStep;

    private record Message(long step, Instance recipient, Runnable delivery) {}

    /** Request that has reached the upstream from an instance that knew the limit. */
    record Arrival(long nanos, String instance) {}

    final class Instance {
        private final int mNumber = mStarted++;
        private final String mId = "instance-" + mNumber;
        private final SharedRateLimits mLimits =
                new SharedRateLimits(mId, new NoListener(), nanos());
        private final Map<String, Long> mHeardNanos = new HashMap<>();
        private boolean mFrozen;

        SharedRateLimits limits() {
            return mLimits;
        }

        void freeze(boolean frozen) {
            mFrozen = frozen;
        }

        private Map<String, Duration> silence() {
            Map<String, Duration> silence = new HashMap<>();
            mHeardNanos.forEach((id, heard) -> silence.put(id, Duration.ofNanos(nanos() - heard)));
            return silence;
        }

        private void exchange() {
            PermitMessages messages = mLimits.exchange(silence(), mInstances.size(), nanos());
            messages.requests()
                    .forEach(
                            (id, permits) ->
                                    send(
                                            this,
                                            id,
                                            to -> to.mLimits.requested(mId, permits, nanos())));
            messages.grants()
                    .forEach(
                            (id, grants) ->
                                    send(this, id, to -> to.mLimits.granted(grants, nanos())));
        }

        private void report() {
            var observations = mLimits.observations(nanos());
            for (Instance other : mInstances) {
                if (other != this) {
                    send(
                            this,
                            other.mId,
                            to -> {
                                to.mHeardNanos.put(mId, nanos());
                                to.mLimits.accept(observations, nanos());
                            });
                }
            }
        }

        private boolean sendRequest() {
            if (!mLimits.maySend(UPSTREAM, nanos()) || mPreferOthers) {
                return false;
            }
            if (mLimits.isLimited(UPSTREAM) || mLimits.isColdLimited(UPSTREAM, nanos())) {
                mArrivals.add(new Arrival(nanos(), mId));
            }
            mLimits.sent(UPSTREAM, nanos());
            mLimits.responseReceived(UPSTREAM, mNotice, nanos());
            return true;
        }
    }

    static final class NoListener implements SharedRateLimits.Listener {

        @Override
        public void limitChanged(String upstream, OptionalDouble requestsPerSecond) {}

        @Override
        public void permitsReceived() {}
    }

    private interface Delivery {

        void deliver(Instance recipient);
    }

    SimulatedInstances(int instances, Random random, double loss) {
        mRandom = random;
        mLoss = loss;
        for (int i = 0; i < instances; i++) {
            start();
        }
    }

    Instance start() {
        Instance instance = new Instance();
        mInstances.add(instance);
        return instance;
    }

    void kill(Instance instance) {
        mInstances.remove(instance);
    }

    List<Instance> instances() {
        return List.copyOf(mInstances);
    }

    /** Sets what the upstream says in its responses. */
    void advertise(RateLimitNotice notice) {
        mNotice = notice;
    }

    void advertise(double requestsPerSecond) {
        advertise(new RateLimitNotice.Limited(requestsPerSecond));
    }

    /** Makes instances ask for permits and send their requests to other upstreams. */
    void preferOthers(boolean preferOthers) {
        mPreferOthers = preferOthers;
    }

    /** Splits the instances into groups that do not hear from each other. */
    void split(int groups) {
        mGroups = groups;
    }

    /** Sets how many requests an instance has in a step in which it has any. */
    void requestsPerStep(int requests) {
        mRequestsPerStep = requests;
    }

    /** Makes the entry of the upstream say how long it stays cold. */
    void cold(Duration remaining, ColdStartLimit limit) {
        for (Instance instance : mInstances) {
            instance.mLimits.coldObserved(UPSTREAM, remaining, Optional.of(limit), false, nanos());
        }
    }

    void advertiseNothing() {
        advertise(UNLIMITED);
    }

    long nanos() {
        return mStep * STEP_NANOS;
    }

    /**
     * Advances the time.
     *
     * @param hasRequest whether the instance with the index has a request in this step
     * @return number of requests sent to the upstream
     */
    int run(Duration duration, IntPredicate hasRequest) {
        int sent = 0;
        long end = mStep + duration.toNanos() / STEP_NANOS;
        while (mStep < end) {
            mStep++;
            deliver();
            for (int i = 0; i < mInstances.size(); i++) {
                Instance instance = mInstances.get(i);
                if (instance.mFrozen) {
                    continue;
                }
                int requests = hasRequest.test(i) ? mRequestsPerStep : 0;
                for (int request = 0; request < requests && instance.sendRequest(); request++) {
                    sent++;
                }
                if ((mStep + i) % REPORT_STEPS == 0) {
                    instance.report();
                }
                if ((mStep + i) % EXCHANGE_STEPS == 0) {
                    instance.exchange();
                }
            }
        }
        return sent;
    }

    /** Returns the largest number of arrivals in a window, of those at or after the time. */
    int largestWindow(long sinceNanos, Duration window) {
        List<Arrival> arrivals = mArrivals.stream().filter(a -> a.nanos() >= sinceNanos).toList();
        int largest = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last).nanos() - arrivals.get(first).nanos() > window.toNanos()) {
                first++;
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest;
    }

    private void send(Instance sender, String recipient, Delivery delivery) {
        if (mRandom.nextDouble() < mLoss) {
            return;
        }
        long step = mStep + 1 + mRandom.nextInt(MAX_DELAY_STEPS);
        mInstances.stream()
                .filter(instance -> instance.mId.equals(recipient))
                .filter(instance -> (instance.mNumber - sender.mNumber) % mGroups == 0)
                .findFirst()
                .ifPresent(to -> mMessages.add(new Message(step, to, () -> delivery.deliver(to))));
    }

    private void deliver() {
        List<Message> due =
                mMessages.stream()
                        .filter(m -> m.step() <= mStep && !m.recipient().mFrozen)
                        .toList();
        mMessages.removeAll(due);
        due.stream()
                .filter(message -> mInstances.contains(message.recipient()))
                .forEach(message -> message.delivery().run());
    }
}
