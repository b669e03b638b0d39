package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagergap.decisions.policy.PolicyStamp;

/** Stamps with the highest version of the workspaces seen lately. */
final class WorkspacePolicyTable {

    private final Map<String, Entry> mEntries = new LinkedHashMap<>(16, 0.75f, true);
    private final long mRetentionNanos;

    WorkspacePolicyTable(Duration retention) {
        mRetentionNanos = retention.toNanos();
    }

    /** Weight of the stamp's workspace; an older stamp does not change it. */
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

    /** The table is in order of last use, so that silent workspaces are at its head. */
    private void removeIdle(long nowNanos) {
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext() && nowNanos - entries.next().lastUsedNanos() > mRetentionNanos) {
            entries.remove();
        }
    }

    private record Entry(PolicyStamp stamp, long lastUsedNanos) {}
}
