package org.tanagergap.gateway.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpHeaders;

/**
 * Sends the body of a request in parts as the upstream reads them: each write is copied to memory
 * outside of the heap until it is sent. Confined to the event loop.
 */
final class BodySender {

    private static final int PART_BYTES = 64 << 10;

    private final HttpClientRequest mRequest;
    private final Buffer mBody;
    private final Runnable mOnSent;
    private int mSent;
    private boolean mStopped;

    /**
     * Creates a sender that is not started.
     *
     * @param onSent called when the last part has been written
     */
    BodySender(HttpClientRequest request, Buffer body, Runnable onSent) {
        mRequest = request;
        mBody = body;
        mOnSent = onSent;
    }

    /** Sends the body and ends the request. */
    void start() {
        if (mBody.length() == 0) {
            mRequest.end().onSuccess(ignored -> mOnSent.run());
            return;
        }
        mRequest.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(mBody.length()));
        mRequest.drainHandler(ignored -> sendParts());
        sendParts();
    }

    /** Sends nothing more. */
    void stop() {
        mStopped = true;
    }

    private void sendParts() {
        while (!mStopped && mSent < mBody.length() && !mRequest.writeQueueFull()) {
            int end = Math.min(mBody.length(), mSent + PART_BYTES);
            Buffer part = mBody.slice(mSent, end);
            mSent = end;
            if (end == mBody.length()) {
                mRequest.end(part).onSuccess(ignored -> mOnSent.run());
            } else {
                mRequest.write(part);
            }
        }
    }
}
