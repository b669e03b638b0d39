import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy on the way to an address, which can reset all channels for a while. */
final class Link {

    private final ServerSocket mServer = new ServerSocket();
    private final String mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mCut;

    Link(String target) throws IOException {
        mTarget = target;
        mServer.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Runner.thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Resets the channels that are open and all new ones. */
    void cut() {
        mCut = true;
        mSockets.forEach(Link::reset);
    }

    void heal() {
        mCut = false;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It was closed already.
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket in = mServer.accept();
                if (mCut) {
                    reset(in);
                    continue;
                }
                Socket out = new Socket();
                out.connect(new InetSocketAddress(mTarget.split(":")[0], Integer.parseInt(mTarget.split(":")[1])));
                in.setTcpNoDelay(true);
                out.setTcpNoDelay(true);
                mSockets.add(in);
                mSockets.add(out);
                Runner.thread(() -> copy(in, out));
                Runner.thread(() -> copy(out, in));
            } catch (IOException e) {
                // The store refuses; the channel stays open until it is cut.
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] bytes = new byte[64 << 10];
        try {
            while (true) {
                int n = from.getInputStream().read(bytes);
                if (n < 0) {
                    break;
                }
                to.getOutputStream().write(bytes, 0, n);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } finally {
            mSockets.remove(from);
        }
    }
}
