package org.tanagergap.runtime.http;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.decisions.memory.ResponseAdmission;

/**
 * Memory for the calls of a gRPC server, which keeps messages and replies as a whole.
 *
 * @param bodies decides which messages may use memory
 * @param replies decides which replies may use memory
 * @param replyBytes supplies the size of the largest reply; 0 if all are about as small as a head
 */
public record CallMemory(BodyAdmission bodies, ResponseAdmission replies, LongSupplier replyBytes) {

    public CallMemory {
        Objects.requireNonNull(bodies, "bodies must not be null");
        Objects.requireNonNull(replies, "replies must not be null");
        Objects.requireNonNull(replyBytes, "replyBytes must not be null");
    }

    /** Returns true if there is memory for the reply to a further call. */
    boolean admitsReply() {
        long bytes = replyBytes.getAsLong();
        return bytes == 0 || replies.admits(bytes);
    }

    /** Charges the reply to a call. */
    ResponseAdmission.Charge chargeReply() {
        return replies.charge(replyBytes.getAsLong());
    }
}
