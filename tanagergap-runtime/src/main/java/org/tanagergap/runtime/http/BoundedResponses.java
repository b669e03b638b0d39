package org.tanagergap.runtime.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.ResponseAdmission;

/**
 * Sends large responses of one kind within the memory for all of them, also if their clients do not
 * read them. Confined to the event loop.
 */
public final class BoundedResponses {

    /** The connection of a client that has not read its response by then is closed. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

    private static final int HTTP_UNAVAILABLE = 503;
    private static final String RETRY_AFTER_SECONDS = "1";

    private final InboundProtection mInbound;
    private final ResponseAdmission mAdmission;
    private int mLargestBytes;

    /**
     * Creates a sender.
     *
     * @param inbound protects the connections, and records refusals
     */
    public BoundedResponses(InboundProtection inbound, ResponseAdmission admission) {
        mInbound = Objects.requireNonNull(inbound, "inbound must not be null");
        mAdmission = Objects.requireNonNull(admission, "admission must not be null");
    }

    /**
     * Builds and sends a response, or refuses the request if there is no memory for a response of
     * the largest size so far.
     */
    public void send(HttpServerRequest request, Supplier<Buffer> body) {
        if (!mAdmission.admits(mLargestBytes)) {
            refuse(request);
            return;
        }
        Buffer built = body.get();
        mLargestBytes = Math.max(mLargestBytes, built.length());
        ResponseAdmission.Charge charge = mAdmission.charge(built.length());
        Timer timer = InboundProtection.closeAfter(request, WRITE_TIMEOUT);
        request.response()
                .end(built)
                .onComplete(
                        ignored -> {
                            timer.cancel();
                            charge.release();
                        });
    }

    private void refuse(HttpServerRequest request) {
        mInbound.refused(InboundRefusal.NO_MEMORY);
        request.response()
                .setStatusCode(HTTP_UNAVAILABLE)
                .putHeader(HttpHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS)
                .end();
    }
}
