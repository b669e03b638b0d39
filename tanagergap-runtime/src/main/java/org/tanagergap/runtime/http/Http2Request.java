package org.tanagergap.runtime.http;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.decisions.memory.ResponseAdmission;

/** Memory of a request on an HTTP/2 connection. */
final class Http2Request {

    private static final int RANK = 0;

    private final RuntimeClock mClock;
    private final HeadAdmission.Charge mHead;
    private final Optional<BodyAdmission.Reservation> mBody;
    private final Optional<ResponseAdmission.Charge> mReply;
    private Timer mTimer = () -> {};
    private long mBodyBytes;
    private boolean mComplete;

    /**
     * Creates a request without a body.
     *
     * @param memory memory of the message and the reply; empty if the server charges them itself
     */
    Http2Request(RuntimeClock clock, HeadAdmission.Charge head, Optional<CallMemory> memory) {
        mClock = clock;
        mHead = head;
        mBody = memory.map(m -> open(m.bodies()));
        mReply = memory.map(CallMemory::chargeReply);
    }

    private static BodyAdmission.Reservation open(BodyAdmission bodies) {
        return bodies.open(RANK, BodyAdmission.NO_WAIT, () -> {}, ignored -> {});
    }

    /** Runs the task after the time unless the request is complete or its stream closed by then. */
    void ifIncompleteAfter(Duration time, Runnable task) {
        mTimer = mClock.schedule(time, task);
    }

    boolean isComplete() {
        return mComplete;
    }

    /** Adds a part of the body, for which memory is to be reserved. */
    void receive(int bytes) {
        mBodyBytes += bytes;
    }

    /** Returns true if the body is so short that incomplete requests give way to it. */
    boolean isShort() {
        return memory() <= BodyAdmission.SHORT_BODY_BYTES;
    }

    /** Reserves memory for the body; returns false if there is none. */
    boolean reserve() {
        return mBody.map(body -> body.tryReserve(memory())).orElse(true);
    }

    private long memory() {
        return BodyBuffer.GROWTH_FACTOR * mBodyBytes;
    }

    /** Records the end of the request. */
    void complete() {
        mComplete = true;
        mTimer.cancel();
        mBody.ifPresent(BodyAdmission.Reservation::completed);
    }

    /** Records that the stream is closed. */
    void close() {
        mTimer.cancel();
        mHead.release();
        mBody.ifPresent(body -> body.close(mClock.nanoTime()));
        mReply.ifPresent(ResponseAdmission.Charge::release);
    }
}
