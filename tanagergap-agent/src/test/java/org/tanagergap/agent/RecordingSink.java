package org.tanagergap.agent;

import java.util.ArrayList;
import java.util.List;
import org.tanagergap.agent.attempt.EventSink;
import org.tanagergap.protocol.v1.Failed;
import org.tanagergap.protocol.v1.RunEvent;

/** Records the events of one attempt. */
final class RecordingSink implements EventSink {

    final List<RunEvent> mEvents = new ArrayList<>();
    int mEndCount;
    boolean mFull;
    Runnable mOnDrain = () -> {};

    @Override
    public void send(RunEvent event) {
        mEvents.add(event);
    }

    @Override
    public boolean isFull() {
        return mFull;
    }

    @Override
    public void onDrain(Runnable action) {
        mOnDrain = action;
    }

    @Override
    public void end() {
        mEndCount++;
    }

    RunEvent last() {
        return mEvents.get(mEvents.size() - 1);
    }

    /** Code and execution of the failure, as {@code code/EXECUTION}; empty if there is none. */
    String failure() {
        Failed failed = mEvents.isEmpty() ? Failed.getDefaultInstance() : last().getFailed();
        return failed.getCode().isEmpty()
                ? ""
                : failed.getCode() + "/" + failed.getExecution().name().substring(10);
    }

    List<Long> tokens() {
        return mEvents.stream()
                .filter(RunEvent::hasToken)
                .map(e -> e.getToken().getIndex())
                .toList();
    }
}
