package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import org.tanagergap.decisions.policy.PolicyStamp;

/** Queue, properties and recent service of one rank. */
final class RankQueue {

    private static final double PERCENT = 100.0;

    private final String mName;
    private final WorkspaceShares mShares = new WorkspaceShares();
    private final ServiceWindow mServed;
    private final FloorCredit mFloorCredit = new FloorCredit();
    private long mVersion = Long.MIN_VALUE;
    private int mPriority;
    private int mFloorPercent;

    RankQueue(String name, Duration window) {
        mName = name;
        mServed = new ServiceWindow(window);
    }

    /** Updates the properties, unless the stamp is older than the current ones. */
    void updatePolicy(PolicyStamp stamp) {
        if (stamp.configurationVersion() >= mVersion) {
            mVersion = stamp.configurationVersion();
            mPriority = stamp.rankPriority();
            mFloorPercent = stamp.rankFloorPercent();
        }
    }

    String name() {
        return mName;
    }

    int priority() {
        return mPriority;
    }

    /** Returns the guaranteed share of service, from 0 to 1. */
    double floor() {
        return mFloorPercent / PERCENT;
    }

    WorkspaceShares shares() {
        return mShares;
    }

    boolean isEmpty() {
        return mShares.backlog().count() == 0;
    }

    ServiceWindow served() {
        return mServed;
    }

    /** Returns the credit of service by the engine beyond the floor. */
    FloorCredit floorCredit() {
        return mFloorCredit;
    }
}
