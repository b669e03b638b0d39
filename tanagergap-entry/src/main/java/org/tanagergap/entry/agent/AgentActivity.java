package org.tanagergap.entry.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagergap.api.time.RuntimeClock;

/** Records the time of the last message of each agent. */
public final class AgentActivity {

    private final RuntimeClock mClock;
    private final Map<String, Long> mLastNanos = new ConcurrentHashMap<>();

    public AgentActivity(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    /** Records a message of the agent at the current time. */
    public void recordActivity(String agent) {
        mLastNanos.put(agent, mClock.nanoTime());
    }

    /** Returns true if the agent sent a message within the given time. */
    public boolean wasActiveWithin(String agent, Duration time) {
        Long last = mLastNanos.get(agent);
        return last != null && mClock.nanoTime() - last <= time.toNanos();
    }

    /** Removes all other agents, so that the table does not outgrow the subset. */
    public void retain(Collection<String> agents) {
        mLastNanos.keySet().retainAll(agents);
    }
}
