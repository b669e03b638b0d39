package org.tanagergap.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.IntFunction;

/**
 * Clients that keep to no limit. One thread serves all of them: each opens a connection, sends its
 * script as fast as the server takes it, discards what it receives unless it reads nothing, and
 * begins again on another connection when this one ends.
 */
public final class ClientCrowd implements AutoCloseable {

    private static final int READ_BYTES = 16 << 10;
    private static final int UNREAD_BYTES = 4 << 10;
    private static final int ROUND_MILLIS = 50;
    private static final long JOIN_MILLIS = 10_000;

    private final InetSocketAddress mAddress;
    private final Selector mSelector;
    private final Thread mThread;
    private final ByteBuffer mDiscarded = ByteBuffer.allocateDirect(READ_BYTES);
    private final Deque<ClientScript> mUnconnected = new ArrayDeque<>();
    private volatile boolean mClosed;

    private ClientCrowd(InetSocketAddress address) throws IOException {
        mAddress = address;
        mSelector = Selector.open();
        mThread = new Thread(this::run, "client-crowd");
        mThread.setDaemon(true);
    }

    /**
     * Opens connections and begins to send.
     *
     * @param scripts what the client with the given number sends
     */
    public static ClientCrowd open(
            InetSocketAddress address, int clients, IntFunction<ClientScript> scripts)
            throws IOException {
        ClientCrowd crowd = new ClientCrowd(address);
        for (int i = 0; i < clients; i++) {
            crowd.mUnconnected.add(scripts.apply(i));
        }
        crowd.mThread.start();
        return crowd;
    }

    private void run() {
        try {
            while (!mClosed) {
                connectAll();
                serveRound();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void connectAll() throws IOException {
        while (!mUnconnected.isEmpty()) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            Client client = new Client(mUnconnected.remove());
            if (!client.mScript.reads()) {
                channel.setOption(StandardSocketOptions.SO_RCVBUF, UNREAD_BYTES);
            }
            SelectionKey key = channel.register(mSelector, SelectionKey.OP_CONNECT, client);
            if (channel.connect(mAddress)) {
                connected(key);
            }
        }
    }

    /** Serves the connections for a time, after which the clients without one connect again. */
    private void serveRound() throws IOException {
        long end = System.nanoTime() + ROUND_MILLIS * 1_000_000L;
        long left = ROUND_MILLIS;
        while (!mClosed && left > 0) {
            mSelector.select(left);
            Iterator<SelectionKey> selected = mSelector.selectedKeys().iterator();
            while (selected.hasNext()) {
                serve(selected.next());
                selected.remove();
            }
            left = (end - System.nanoTime()) / 1_000_000;
        }
    }

    private void serve(SelectionKey key) throws IOException {
        Client client = (Client) key.attachment();
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                connected(key);
            }
            boolean ended = key.isReadable() && discard(channel) < 0;
            boolean sent = !ended && key.isWritable() && client.send(channel);
            if (ended || sent && client.mScript.leaves()) {
                end(key);
            } else if (sent) {
                key.interestOps(client.readInterest());
            }
        } catch (IOException e) {
            end(key);
        }
    }

    private static void connected(SelectionKey key) {
        Client client = (Client) key.attachment();
        key.interestOps(client.readInterest() | SelectionKey.OP_WRITE);
    }

    private int discard(SocketChannel channel) throws IOException {
        mDiscarded.clear();
        return channel.read(mDiscarded);
    }

    private void end(SelectionKey key) throws IOException {
        key.cancel();
        key.channel().close();
        mUnconnected.add(((Client) key.attachment()).mScript);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        mClosed = true;
        mSelector.wakeup();
        mThread.join(JOIN_MILLIS);
        for (SelectionKey key : mSelector.keys()) {
            key.channel().close();
        }
        mSelector.close();
    }

    /** A client with a connection, and what it has sent. */
    private static final class Client {

        private final ClientScript mScript;
        private final ByteBuffer mStart;
        private final ByteBuffer mBlock;
        private long mSent;

        private Client(ClientScript script) {
            mScript = script;
            mStart = ByteBuffer.wrap(script.start());
            mBlock = ByteBuffer.wrap(script.block());
        }

        private int readInterest() {
            return mScript.reads() ? SelectionKey.OP_READ : 0;
        }

        /** Sends what the connection takes; returns true after the last byte. */
        private boolean send(SocketChannel channel) throws IOException {
            int written;
            do {
                ByteBuffer next = mStart.hasRemaining() ? mStart : nextBlock();
                written = channel.write(next);
                mSent += written;
            } while (written > 0 && mSent < mScript.length());
            return mSent >= mScript.length();
        }

        private ByteBuffer nextBlock() {
            if (mBlock.position() == mBlock.capacity()) {
                mBlock.clear();
            }
            long left = mScript.length() - mSent;
            long end = Math.min(mBlock.capacity(), mBlock.position() + left);
            mBlock.limit((int) end);
            return mBlock;
        }
    }
}
