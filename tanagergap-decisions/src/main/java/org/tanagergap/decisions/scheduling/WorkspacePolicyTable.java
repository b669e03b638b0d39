package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagergap.decisions.policy.PolicyStamp;

/** Stamp with the highest configuration version of each recently active workspace. */
final class WorkspacePolicyTable {

    private final Map<String, Entry> mEntries = new LinkedHashMap<>(16, 0.75f, true);
    private final long mRetentionNanos;

    WorkspacePolicyTable(Duration retention) {
        mRetentionNanos = retention.toNanos();
    }

    /**
     * Returns the weight of the stamp's workspace; a stamp older than the current one does not
     * change it.
     */
    int weight(PolicyStamp stamp, long nowNanos) {
        Entry known = mEntries.get(stamp.workspace());
        PolicyStamp current = stamp;
        if (known != null && known.stamp().configurationVersion() > stamp.configurationVersion()) {
            current = known.stamp();
        }
        mEntries.put(stamp.workspace(), new Entry(current, nowNanos));
        removeIdle(nowNanos);
        return current.weight();
    }

    int size() {
        return mEntries.size();
    }

    /**
     * Removes workspaces that have sent no request for the retention time. The entries are in order
     * of last use, so that idle ones are at the head.
     */
    private void removeIdle(long nowNanos) {
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext() && nowNanos - entries.next().lastUsedNanos() > mRetentionNanos) {
            entries.remove();
        }
    }

    private record Entry(PolicyStamp stamp, long lastUsedNanos) {}
}
