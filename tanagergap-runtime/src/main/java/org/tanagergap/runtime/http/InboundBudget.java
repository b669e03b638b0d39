package org.tanagergap.runtime.http;

import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.decisions.memory.ConnectionAdmission;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.decisions.memory.ResponseAdmission;
import org.tanagergap.decisions.memory.SharedMemoryLimit;

/**
 * Memory of a process for its clients: their connections, the heads and bodies of their requests,
 * and the responses to them. All of it counts toward one limit. Confined to the event loop.
 */
public final class InboundBudget {

    private final SharedMemoryLimit mMemory;
    private final ConnectionAdmission mConnections;
    private final HeadAdmission mHeads;
    private final BodyAdmission mBodies;
    private final ResponseAdmission mResponses;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxConnections largest number of connections if the memory does not bound it
     */
    public InboundBudget(SharedMemoryLimit memory, int maxConnections) {
        mMemory = memory;
        mConnections = new ConnectionAdmission(memory, maxConnections);
        mHeads = new HeadAdmission(memory);
        mBodies = new BodyAdmission(memory);
        mResponses = new ResponseAdmission(memory);
    }

    /** Creates a budget of half of the heap, with connections for half of the descriptors. */
    public static InboundBudget ofProcess() {
        return new InboundBudget(
                SharedMemoryLimit.ofHeapCapacity(), DescriptorLimit.maxConnections());
    }

    /** Creates a protection for the servers of the process. */
    public InboundProtection protection(
            RuntimeClock clock, AcceptedConnections accepted, MetricRegistry metrics) {
        return new InboundProtection(clock, accepted, mConnections, mHeads, metrics);
    }

    /** The limit that all parts share. */
    public SharedMemoryLimit memory() {
        return mMemory;
    }

    public BodyAdmission bodies() {
        return mBodies;
    }

    /** Memory for the calls of a gRPC server whose replies are about as small as heads. */
    public CallMemory calls() {
        return calls(() -> 0);
    }

    /**
     * Memory for the calls of a gRPC server.
     *
     * @param replyBytes supplies the size of the largest reply
     */
    public CallMemory calls(LongSupplier replyBytes) {
        return new CallMemory(mBodies, mResponses, replyBytes);
    }

    /** Decides on responses to other processes and to operators. */
    public ResponseAdmission responses() {
        return mResponses;
    }

    /** Memory of all but the responses to callers. */
    public long usedBytes() {
        return mConnections.usedBytes()
                + mHeads.usedBytes()
                + mBodies.reservedBytes()
                + mResponses.usedBytes();
    }
}
