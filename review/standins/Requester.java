import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A requester's channel to a gateway. */
final class Requester implements AutoCloseable {

    /**
     * How an attempt ended.
     *
     * @param status status of the answer; 0 if the channel was closed without one, -1 if nothing came in time
     * @param written whether all bytes of the request were written before the end was seen
     */
    record Outcome(int status, Http.Head head, byte[] body, boolean written, String what, double endedAt) {}

    final Gateway gateway;
    private final Socket mSocket = new Socket();
    private final BufferedInputStream mIn;

    Requester(Gateway gateway) throws IOException {
        this.gateway = gateway;
        mSocket.setTcpNoDelay(true);
        mSocket.connect(new InetSocketAddress(gateway.host, gateway.front), 1000);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    static byte[] request(String method, String path, String headers, byte[] body) {
        String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
        byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: review.example\r\n" + headers + length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Returns true if the gateway has closed the channel while nothing was asked. */
    boolean isClosed() {
        try {
            mSocket.setSoTimeout(1);
            mIn.mark(1);
            if (mIn.read() < 0) {
                return true;
            }
            mIn.reset();
            return false;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Sends a request evenly over the time, as over a narrow link, and waits for its answer. */
    Outcome askPaced(byte[] request, int millis, int waitMillis) {
        try {
            OutputStream out = mSocket.getOutputStream();
            int steps = Math.max(1, millis / 20);
            int step = request.length / steps;
            long start = System.nanoTime();
            for (int i = 0; i < steps - 1; i++) {
                out.write(request, i * step, step);
                Runner.sleep(Math.max(0, (i + 1) * 20L - (System.nanoTime() - start) / 1_000_000));
            }
            return ask(java.util.Arrays.copyOfRange(request, (steps - 1) * step, request.length), waitMillis);
        } catch (IOException e) {
            return new Outcome(0, null, new byte[0], false, "channel broken while sending: " + e.getMessage(), Recorder.now());
        }
    }

    /** Sends a whole request and waits for its answer. */
    Outcome ask(byte[] request, int waitMillis) {
        boolean written = false;
        Http.Head head = null;
        try {
            mSocket.setSoTimeout(waitMillis);
            OutputStream out = mSocket.getOutputStream();
            out.write(request);
            out.flush();
            written = true;
            head = Http.readHead(mIn);
            if (head == null) {
                return new Outcome(0, null, new byte[0], true, "channel closed without an answer", Recorder.now());
            }
            byte[] body = Http.readResponseBody(mIn, head);
            return new Outcome(head.status(), head, body, true, "answer " + head.status(), Recorder.now());
        } catch (SocketTimeoutException e) {
            return new Outcome(-1, head, new byte[0], written, "no answer in time", Recorder.now());
        } catch (IOException e) {
            return new Outcome(0, head, new byte[0], written, (head == null ? "channel broken: " : "answer broken off: ") + e.getMessage(),
                    Recorder.now());
        }
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            // It was closed already.
        }
    }
}
