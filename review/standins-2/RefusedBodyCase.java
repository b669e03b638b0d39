import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters that send a long body in chunks, and then a note on the same channel. In a burst some
 * bodies are refused before their end. Their requesters end the body there and send the note next.
 * No request is sent before the one before it is answered. With trouble off there is no burst.
 */
public final class RefusedBodyCase {
    private static final int GATEWAYS = 4;
    private static final int USUAL = 6;
    private static final int BURST = 14;
    private static final long BURST_MILLIS = 9_000;
    private static final long BURST_INTERVAL_MILLIS = 12_000;
    private static final long RUN_MILLIS = 75_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int CHUNK_BYTES = 40_000;
    private static final long CHUNK_PAUSE_MILLIS = 24;
    private static final long PAUSE_MILLIS = 200;
    private static final long NOTE_PAUSE_MILLIS = 60;
    private static final int MIN_HEAD_BYTES = 1_005;
    private static final int HEAD_LENGTHS = 20;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int LONG_TIMEOUT_MILLIS = 10_000;
    private static final int EXCUSED_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;
    private static final String NOTE =
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                    + head("PUT /stock/9f", "6666666666666666")
                    + "Content-Length: 0\r\n\r\n";

    private final Record mRecord;
    private final boolean mTrouble;
    private final Random mRandom = new Random(56);
    private final Map<String, String> mSent = new ConcurrentHashMap<>();
    private final AtomicInteger mAccepted = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLasted = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicInteger mChanged = new AtomicInteger();
    private final AtomicInteger mUnsent = new AtomicInteger();
    private final AtomicInteger mForeign = new AtomicInteger();
    private long mStart;
    private volatile boolean mEnd;

    private RefusedBodyCase(Record record, boolean trouble) {
        mRecord = record;
        mTrouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try {
            status = new RefusedBodyCase(record, trouble).run(Path.of(arguments[0]));
        } catch (IOException e) {
            record.result("the case could not run: " + e);
            status = 2;
        }
        Runtime.getRuntime().exit(status);
    }

    private int run(Path folder) throws Exception {
        Store store = new Store();
        ServerSocket runner = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Store.start("runner", () -> acceptAll(runner));
        store.put("op/config", config());
        store.put(
                "servers/i-stock",
                "{\"Service\":\"stock\",\"Address\":\"127.0.0.1:" + runner.getLocalPort()
                        + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\","
                        + "\"ColdLeftMs\":0,\"Seq\":1,\"born\":1790000000000}");
        Gateway[] gateways = new Gateway[GATEWAYS];
        for (int i = 0; i < GATEWAYS; i++) {
            gateways[i] = new Gateway("front-" + (i + 1), store.port(), folder);
        }
        for (Gateway gateway : gateways) {
            if (!gateway.awaitReady(15_000)) {
                mRecord.result("a gateway did not become ready");
                return 2;
            }
        }
        Thread.sleep(3_500);
        mStart = System.currentTimeMillis();
        for (int i = 0; i < GATEWAYS; i++) {
            int port = gateways[i].port;
            for (int j = 0; j < (mTrouble ? BURST : USUAL); j++) {
                String prefix = String.format("%x%02x", i + 1, j);
                boolean inBursts = j >= USUAL;
                Store.start("requester", () -> sendAll(port, prefix, inBursts));
                Thread.sleep(20);
            }
        }
        Thread.sleep(RUN_MILLIS);
        mEnd = true;
        Thread.sleep(TIMEOUT_MILLIS + EXCUSED_MILLIS + 500);
        boolean alive = Arrays.stream(gateways).allMatch(gateway -> gateway.process.isAlive());
        for (Gateway gateway : gateways) {
            gateway.process.destroyForcibly().waitFor();
        }
        return result(alive);
    }

    private int result(boolean alive) {
        mRecord.result(
                "long bodies accepted " + mAccepted + ", refused as not run " + mRefused
                        + "; notes answered " + mAnswered + ", failed " + mFailed
                        + ", unanswered at their route's timeout " + mLasted + ", and "
                        + EXCUSED_MILLIS + " ms later " + mUnanswered);
        mRecord.result(
                "requests run with a body that their requester did not send: " + mChanged
                        + "; requests run that no requester sent: " + mUnsent
                        + "; answers for other requests: " + mForeign);
        if (!alive) {
            mRecord.result("a gateway has ended");
            return 2;
        }
        boolean unasked = mChanged.get() + mUnsent.get() > 0;
        boolean unanswered = mUnanswered.get() >= MIN_UNANSWERED && 2 * mUnanswered.get() > mLasted.get();
        boolean mixed = mForeign.get() > 0;
        mRecord.result("MIXED " + (mixed ? "broken" : "held"));
        mRecord.result("UNASKED " + (unasked ? "broken" : "held"));
        mRecord.result("CONFIG " + (unanswered ? "broken" : "held"));
        boolean broken = unasked || mixed || unanswered;
        mRecord.result(broken ? "BROKEN" : "HELD");
        return broken ? 1 : 0;
    }

    private static String config() {
        return "{\"Version\":3,\"Routes\":["
                + route("archive", LONG_TIMEOUT_MILLIS)
                + ","
                + route("stock", TIMEOUT_MILLIS)
                + "],"
                + "\"Services\":[{\"Name\":\"stock\",\"HealthPath\":\"/healthz\",\"MaxConns\":400,"
                + "\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000}}";
    }

    private static String route(String name, int timeoutMillis) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"desk.example\",\"Prefix\":\"/" + name
                + "/\",\"Kind\":\"idempotent\",\"TimeoutMs\":" + timeoutMillis
                + ",\"GoalMs\":300,\"Priority\":1,\"Service\":\"stock\",\"Attempts\":2,\"Public\":true,"
                + "\"Sticky\":false,\"CanResume\":false}";
    }

    private void acceptAll(ServerSocket runner) {
        while (true) {
            try {
                Socket socket = runner.accept();
                Store.start("runner channel", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            Channel channel = new Channel(socket);
            Channel.Head head = channel.readHead();
            if (head != null && head.path().startsWith("/-/report")) {
                channel.answer(200, "", "{\"born\":1790000000000}");
            } else if (head != null) {
                byte[] body = channel.readBody(head);
                String request = head.field("tanagergap-request-id");
                check(head, request, body);
                channel.answer(
                        200,
                        "Tanagergap-Request-Id: " + request
                                + "\r\nTanagergap-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
                        "12 lids");
            }
            channel.close();
        } catch (IOException e) {
            // The gateway has left.
        }
    }

    private void check(Channel.Head head, String request, byte[] body) {
        String sent = mSent.get(request);
        if (sent == null) {
            mUnsent.incrementAndGet();
            mRecord.line("the runner runs %s, which no requester sent: %s", request, head.first());
        } else if (sent.isEmpty()
                ? body.length != BODY_BYTES
                : !sent.equals(new String(body, StandardCharsets.UTF_8))) {
            mChanged.incrementAndGet();
            mRecord.line("the runner runs %s with another body, of %d bytes", request, body.length);
        } else {
            mRecord.line("the runner runs %s", request);
        }
    }

    private boolean isBurst() {
        return (System.currentTimeMillis() - mStart) % BURST_INTERVAL_MILLIS < BURST_MILLIS;
    }

    private void sendAll(int port, String prefix, boolean inBursts) {
        Channel channel = null;
        for (int i = 0; !mEnd; i++) {
            String upload = prefix + String.format("%05x%08x", i, 1);
            String note = prefix + String.format("%05x%08x", i, 2);
            try {
                while (inBursts && !isBurst() && !mEnd) {
                    Thread.sleep(50);
                }
                if (channel == null) {
                    Socket socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                    channel = new Channel(socket);
                }
                channel.socket.setSoTimeout(LONG_TIMEOUT_MILLIS + 1_000);
                long retryAfter = send(channel, upload, note);
                receiveNote(channel, note);
                Thread.sleep(Math.max(PAUSE_MILLIS, retryAfter));
            } catch (IOException e) {
                if (!mEnd) {
                    mRecord.line("the channel of %s fails: %s", note, e);
                    mFailed.incrementAndGet();
                }
                if (channel != null) {
                    channel.close();
                }
                channel = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends both; returns after how long the requester may come back with a long body. */
    private long send(Channel channel, String request, String note)
            throws IOException, InterruptedException {
        mSent.put(request, "");
        mSent.put(note, NOTE);
        channel.write(
                head("PUT /archive/2f", request) + "Transfer-Encoding: chunked\r\n\r\n", new byte[0]);
        byte[] data = new byte[CHUNK_BYTES + 2];
        Arrays.fill(data, (byte) 'a');
        data[CHUNK_BYTES] = '\r';
        data[CHUNK_BYTES + 1] = '\n';
        int sent = 0;
        while (sent < BODY_BYTES && channel.in.available() == 0) {
            channel.write(Integer.toHexString(CHUNK_BYTES) + "\r\n", data);
            sent += CHUNK_BYTES;
            Thread.sleep(CHUNK_PAUSE_MILLIS);
        }
        boolean early = sent < BODY_BYTES;
        if (!early) {
            channel.write("0\r\n\r\n", new byte[0]);
        }
        Channel.Head answer = channel.readHead();
        if (answer == null) {
            throw new IOException("closed without an answer");
        }
        channel.readBody(answer);
        checkOwn(answer, request);
        (answer.status() == 200 ? mAccepted : mRefused).incrementAndGet();
        mRecord.line("requester gets %d for %s after %d bytes", answer.status(), request, sent);
        if ("close".equalsIgnoreCase(answer.field("connection"))) {
            throw new IOException("the gateway closes the channel");
        }
        // After an early answer the body ends here, and the channel is kept.
        channel.write((early ? "0\r\n\r\n" : "") + noteHead(note), new byte[0]);
        Thread.sleep(NOTE_PAUSE_MILLIS);
        channel.write(NOTE, new byte[0]);
        String retryAfter = answer.field("retry-after");
        return retryAfter == null ? 0 : (long) (1000 * Double.parseDouble(retryAfter));
    }

    private void checkOwn(Channel.Head answer, String request) throws IOException {
        String answered = answer.field("tanagergap-request-id");
        if (!request.equals(answered)) {
            // An answer without an identifier belongs to no other request.
            mForeign.addAndGet(answered == null ? 0 : 1);
            throw new IOException("the answer " + answer.status() + " is for " + answered + ", not for " + request);
        }
    }

    private String noteHead(String request) {
        int length;
        synchronized (mRandom) {
            length = MIN_HEAD_BYTES + mRandom.nextInt(HEAD_LENGTHS);
        }
        String head =
                head("PUT /stock/3f", request) + "Content-Length: " + NOTE.length() + "\r\nX-Trace: ";
        return head + "t".repeat(length - head.length() - 4) + "\r\n\r\n";
    }

    private void receiveNote(Channel channel, String request) throws IOException {
        channel.socket.setSoTimeout(TIMEOUT_MILLIS + EXCUSED_MILLIS);
        long start = System.nanoTime();
        try {
            Channel.Head answer = channel.readHead();
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            channel.readBody(answer);
            checkOwn(answer, request);
            mAnswered.incrementAndGet();
            mRecord.line("requester gets %d for the note %s", answer.status(), request);
            if (System.nanoTime() - start > TIMEOUT_MILLIS * 1_000_000L) {
                mLasted.incrementAndGet();
            }
        } catch (SocketTimeoutException e) {
            mLasted.incrementAndGet();
            mUnanswered.incrementAndGet();
            throw new IOException("no answer for " + request);
        }
    }

    private static String head(String firstWords, String request) {
        return firstWords + " HTTP/1.1\r\nHost: desk.example\r\nTanagergap-Request-Id: " + request
                + "\r\nTanagergap-Deadline-Ms: 10000\r\n";
    }
}
