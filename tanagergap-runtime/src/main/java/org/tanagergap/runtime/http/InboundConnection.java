package org.tanagergap.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.ConnectionAdmission;

/** A connection of a client. Confined to its event loop. */
final class InboundConnection extends ChannelInboundHandlerAdapter {

    private static final String NAME = "inbound-connection";

    /** A client that only opens connections does not send as many on each of them. */
    private static final int ESTABLISHED_REQUESTS = 2;

    private static final Timer NO_TIMER = () -> {};

    private final InboundProtection mProtection;
    private Optional<ConnectionAdmission.Charge> mCharge = Optional.empty();
    private ChannelHandlerContext mContext;
    private Runnable mOnClose = () -> {};
    private BooleanSupplier mUnread = () -> false;
    private Timer mCloseTimer = NO_TIMER;
    private Use mUse = Use.RECEIVING;
    private int mRequests;
    private boolean mClosed;

    /** What a connection is used for; with too many, those in the first states are closed first. */
    enum Use {
        /** It waits for a further request. */
        IDLE,
        /** It is new, or a part of a request has arrived. */
        RECEIVING,
        /** A request is complete and its response is not. */
        RESPONDING
    }

    InboundConnection(InboundProtection protection) {
        mProtection = protection;
    }

    /** Adds a connection before its first bytes are read. */
    static InboundConnection add(Channel channel, InboundProtection protection) {
        InboundConnection connection = new InboundConnection(protection);
        channel.pipeline().addLast(NAME, connection);
        return connection;
    }

    /** Returns the connection of a channel; adds it if its server does not. */
    static InboundConnection of(Channel channel, InboundProtection protection) {
        InboundConnection added = channel.pipeline().get(InboundConnection.class);
        if (added != null) {
            return added;
        }
        InboundConnection connection = new InboundConnection(protection);
        channel.pipeline().addFirst(NAME, connection);
        return connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
        mCharge = Optional.of(mProtection.opened(this));
        context.channel().closeFuture().addListener(ignored -> closed());
    }

    /** Sets an action to run when the connection is closed. */
    void onClose(Runnable action) {
        mOnClose = action;
    }

    /** Sets what returns true while all that the connection waits for is its client's reads. */
    void unread(BooleanSupplier unread) {
        mUnread = unread;
    }

    /** Returns true while the client keeps responses from being sent and waits for nothing else. */
    boolean isUnread() {
        return mUnread.getAsBoolean();
    }

    /** Charges further memory of the connection, such as that of its protocol. */
    void charge(long bytes) {
        if (!mClosed) {
            mCharge.ifPresent(charge -> charge.raise(bytes));
            mProtection.charged(this);
        }
    }

    void use(Use use) {
        if (mClosed || mUse == use) {
            return;
        }
        if (mUse == Use.RESPONDING) {
            mRequests++;
        }
        mUse = use;
        mProtection.useChanged(this);
    }

    Use use() {
        return mUse;
    }

    /** Returns true if several requests of the client have had their responses. */
    boolean isEstablished() {
        return mRequests >= ESTABLISHED_REQUESTS;
    }

    /**
     * Closes the connection after the time, unless the timer is cancelled. The timer ends with the
     * connection: what it refers to would otherwise stay in memory.
     */
    Timer closeAfter(Duration time, Runnable close) {
        if (mClosed) {
            return NO_TIMER;
        }
        mCloseTimer.cancel();
        mCloseTimer = mProtection.clock().schedule(time, close);
        return mCloseTimer;
    }

    /**
     * Closes the connection at once, without a GOAWAY frame, so that its memory is free for others.
     */
    void evict() {
        mContext.close();
    }

    /** Closes the connection when its server has set it up, so that it learns of the end. */
    void evictLater() {
        mContext.executor().execute(this::evict);
    }

    private void closed() {
        mClosed = true;
        mCloseTimer.cancel();
        mCharge.ifPresent(ConnectionAdmission.Charge::close);
        mProtection.closed(this);
        mOnClose.run();
    }
}
