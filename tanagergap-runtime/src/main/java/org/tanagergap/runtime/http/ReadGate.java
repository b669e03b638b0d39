package org.tanagergap.runtime.http;

import io.netty.channel.Channel;

/**
 * Stops and continues the reads of a connection. Not to forward requests to read is not enough: a
 * channel that reads automatically is read whenever bytes arrive.
 */
final class ReadGate {

    private boolean mSuspended;

    void suspend(Channel channel) {
        mSuspended = true;
        channel.config().setAutoRead(false);
    }

    void resume(Channel channel) {
        if (mSuspended) {
            mSuspended = false;
            channel.config().setAutoRead(true);
        }
    }
}
