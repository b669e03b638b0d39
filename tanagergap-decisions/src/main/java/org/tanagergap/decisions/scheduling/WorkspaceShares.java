package org.tanagergap.decisions.scheduling;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.tanagergap.api.request.LengthBand;

/**
 * Start-time fair queueing of the workspaces of one rank by weight, in tokens of work. All
 * operations are logarithmic in the number of workspaces and of queued items.
 */
final class WorkspaceShares {

    private final Map<String, WorkspaceFlow> mFlows = new HashMap<>();
    private final Map<LengthBand, TreeSet<WorkspaceFlow>> mReady = new EnumMap<>(LengthBand.class);
    private final TreeSet<WorkspaceFlow> mByExcess = new TreeSet<>(WorkspaceFlow.BY_EXCESS);
    private final TreeSet<WorkspaceFlow> mIdle = new TreeSet<>(WorkspaceFlow.BY_TAG);
    private final Backlog mBacklog = new Backlog();
    private double mVirtualTime;
    private long mActiveWeight;

    WorkspaceShares() {
        for (LengthBand band : LengthBand.values()) {
            mReady.put(band, new TreeSet<>(WorkspaceFlow.BY_TAG));
        }
    }

    Backlog backlog() {
        return mBacklog;
    }

    /** Returns the sum of the weights of workspaces with queued work. */
    long activeWeight() {
        return mActiveWeight;
    }

    Optional<WorkspaceFlow> flow(String workspace) {
        return Optional.ofNullable(mFlows.get(workspace));
    }

    /** Returns the number of workspaces with queued work or recent service. */
    int size() {
        return mFlows.size();
    }

    void add(QueuedItem queued, int weight) {
        WorkspaceFlow flow =
                mFlows.computeIfAbsent(queued.workspace(), n -> new WorkspaceFlow(n, weight));
        detach(flow);
        if (flow.isEmpty()) {
            flow.setTag(Math.max(flow.tag(), mVirtualTime));
        }
        flow.setWeight(weight);
        flow.add(queued);
        mBacklog.add(queued);
        attach(flow);
    }

    /** Removes an item without charging its workspace. */
    void remove(QueuedItem queued) {
        WorkspaceFlow flow = mFlows.get(queued.workspace());
        detach(flow);
        flow.remove(queued);
        mBacklog.remove(queued);
        attach(flow);
        removeIdle();
    }

    /** Removes an item that starts and charges its workspace. */
    void dispatch(QueuedItem queued) {
        WorkspaceFlow flow = mFlows.get(queued.workspace());
        detach(flow);
        mVirtualTime = Math.max(mVirtualTime, flow.tag());
        flow.setTag(flow.tag() + queued.memoryTokens() / (double) flow.weight());
        flow.remove(queued);
        mBacklog.remove(queued);
        attach(flow);
        removeIdle();
    }

    /** Refunds the unused part of a charge. */
    void refund(String workspace, long tokens) {
        WorkspaceFlow flow = mFlows.get(workspace);
        if (flow == null) {
            return;
        }
        detach(flow);
        double tag = flow.tag() - tokens / (double) flow.weight();
        flow.setTag(Math.max(tag, Math.min(flow.tag(), mVirtualTime)));
        attach(flow);
        removeIdle();
    }

    /** Returns the next item of a band in fair order. */
    Optional<QueuedItem> next(LengthBand band) {
        TreeSet<WorkspaceFlow> ready = mReady.get(band);
        return ready.isEmpty() ? Optional.empty() : ready.first().mostUrgent(band);
    }

    /** Returns the start tag of the workspace of a queued item. */
    double tag(QueuedItem queued) {
        return mFlows.get(queued.workspace()).tag();
    }

    /** Returns the newest item of the workspace that has the most queued work for its weight. */
    Optional<QueuedItem> newestOfMostExcessive() {
        return mByExcess.isEmpty() ? Optional.empty() : Optional.of(mByExcess.last().newest());
    }

    private void detach(WorkspaceFlow flow) {
        if (flow.isEmpty()) {
            mIdle.remove(flow);
            return;
        }
        mActiveWeight -= flow.weight();
        mByExcess.remove(flow);
        for (Map.Entry<LengthBand, TreeSet<WorkspaceFlow>> ready : mReady.entrySet()) {
            if (flow.hasBand(ready.getKey())) {
                ready.getValue().remove(flow);
            }
        }
    }

    private void attach(WorkspaceFlow flow) {
        if (flow.isEmpty()) {
            mIdle.add(flow);
            return;
        }
        mActiveWeight += flow.weight();
        mByExcess.add(flow);
        for (Map.Entry<LengthBand, TreeSet<WorkspaceFlow>> ready : mReady.entrySet()) {
            if (flow.hasBand(ready.getKey())) {
                ready.getValue().add(flow);
            }
        }
    }

    /**
     * Removes idle workspaces whose tag virtual time has passed; a new flow would start with the
     * same tag.
     */
    private void removeIdle() {
        if (mByExcess.isEmpty() && !mIdle.isEmpty()) {
            // A busy period ends: virtual time moves to the largest finish tag.
            mVirtualTime = Math.max(mVirtualTime, mIdle.last().tag());
        }
        while (!mIdle.isEmpty() && mIdle.first().tag() <= mVirtualTime) {
            mFlows.remove(mIdle.pollFirst().name());
        }
    }
}
