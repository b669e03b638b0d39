package org.tanagergap.runtime.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** What the decoder has found on a connection, and which responses are due. */
final class RequestProgress {

    private int mUnanswered;
    private long mRequests;
    private long mChunks;
    private long mBodyBytesLeft;
    private boolean mReceiving;

    /** Records that the decoder has found a request, whose body follows. */
    void requestStarted(HttpRequest request) {
        mUnanswered++;
        mRequests++;
        mReceiving = true;
        boolean lengthKnown =
                request.decoderResult().isSuccess() && !HttpUtil.isTransferEncodingChunked(request);
        mBodyBytesLeft = lengthKnown ? HttpUtil.getContentLength(request, 0L) : 0;
    }

    /** Records that the decoder has found a part of a body. */
    void chunkReceived() {
        mChunks++;
    }

    void requestReceived() {
        mReceiving = false;
    }

    /** Records that a response is written, or that the connection has failed. */
    void responseWritten() {
        mUnanswered--;
    }

    /** Records that bytes of the body are passed to the decoder. */
    void bodyBytesPassed(int bytes) {
        mBodyBytesLeft -= Math.min(mBodyBytesLeft, bytes);
    }

    /** Returns true if a request has begun and is not complete. */
    boolean isReceiving() {
        return mReceiving;
    }

    /** Returns true if requests are complete whose responses are not. */
    boolean isAwaitingResponse() {
        return mUnanswered > 0 && !mReceiving;
    }

    boolean hasUnanswered() {
        return mUnanswered > 0;
    }

    /** Number of requests so far. */
    long requests() {
        return mRequests;
    }

    /** Number of parts of bodies so far. */
    long chunks() {
        return mChunks;
    }

    /** Number of bytes up to the end of the body; 0 if it is not known. */
    long bodyBytesLeft() {
        return mBodyBytesLeft;
    }
}
