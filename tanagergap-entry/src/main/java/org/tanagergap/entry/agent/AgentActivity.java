package org.tanagergap.entry.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagergap.api.time.RuntimeClock;

/** Remembers when each agent last sent anything. */
public final class AgentActivity {

    private final RuntimeClock mClock;
    private final Map<String, Long> mLastNanos = new ConcurrentHashMap<>();

    public AgentActivity(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    /** Records that the agent sent a message. */
    public void recordActivity(String agent) {
        mLastNanos.put(agent, mClock.nanoTime());
    }

    /** Whether the agent sent anything within the given time. */
    public boolean wasActiveWithin(String agent, Duration time) {
        Long last = mLastNanos.get(agent);
        return last != null && mClock.nanoTime() - last <= time.toNanos();
    }

    /** Forgets all other agents, so that the table stays as large as the subset. */
    public void retain(Collection<String> agents) {
        mLastNanos.keySet().retainAll(agents);
    }
}
