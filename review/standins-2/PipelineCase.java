import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send three idempotent requests on a kept channel: one with a body in chunks, one with
 * a short text as its body, and one without a body. They send the head of the second one without
 * waiting for the first answer, and the rest 100 ms later. With trouble off they wait for each answer.
 */
public final class PipelineCase {
    private static final int ROUNDS = 3;
    private static final int LENGTHS = 60;
    private static final int FIRST_LENGTH = 970;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int EXCUSED_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;
    private static final long PAUSE_MILLIS = 100;
    private static final String CHUNKS = "5\r\nhello\r\n0\r\n\r\n";
    private static final String NOTE =
            "Note: 400 lids for jar 38\r\n\r\nThe pallet goes to the second gate, as on the last delivery."
                    + " Ring at the office if nobody is there; the lids must not stand outside over night.";

    /** The text of a third person in a body, which must stay a text. */
    private static final String HOSTILE_NOTE =
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                    + head("PUT /stock/9f", "6666666666666666")
                    + "Content-Length: 0\r\n\r\n";

    private final Record mRecord;
    private final boolean mTrouble;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLasted = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicInteger mRun = new AtomicInteger();
    private final AtomicInteger mChanged = new AtomicInteger();
    private final AtomicInteger mUnsent = new AtomicInteger();
    private final Map<String, String> mSentBodies = new ConcurrentHashMap<>();

    private PipelineCase(Record record, boolean trouble) {
        mRecord = record;
        mTrouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try {
            status = new PipelineCase(record, trouble).run(Path.of(arguments[0]));
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
                        + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\","
                        + "\"ColdLeftMs\":0,\"Seq\":1,\"born\":1790000000000}");
        Gateway gateway = new Gateway("front-1", store.port(), folder);
        if (!gateway.awaitReady(20_000)) {
            mRecord.result("the gateway did not become ready");
            return 2;
        }
        Thread.sleep(3_500);
        ExecutorService clients = Executors.newFixedThreadPool(8);
        List<Runnable> all = new ArrayList<>();
        for (int i = 0; i < ROUNDS * LENGTHS; i++) {
            int number = i;
            all.add(() -> sendThree(gateway.port, number, FIRST_LENGTH + number % LENGTHS));
        }
        all.forEach(clients::execute);
        clients.shutdown();
        boolean done = clients.awaitTermination(90, TimeUnit.SECONDS);
        boolean alive = gateway.process.isAlive();
        gateway.process.destroyForcibly().waitFor();
        mRecord.result(
                mRun + " requests run, " + mChanged + " of them with a body that their requester did not send, "
                        + mUnsent + " that no requester sent");
        mRecord.result(
                mAnswered + " requests answered, " + mFailed + " failed; " + mLasted
                        + " lasted longer than their route's timeout, " + mUnanswered
                        + " of them had no answer " + EXCUSED_MILLIS + " ms later");
        if (!done || !alive) {
            mRecord.result("the case could not be completed");
            return 2;
        }
        boolean unanswered =
                mUnanswered.get() >= MIN_UNANSWERED && 2 * mUnanswered.get() > mLasted.get();
        boolean unasked = mChanged.get() + mUnsent.get() > 0;
        mRecord.result("UNASKED " + (unasked ? "broken" : "held"));
        mRecord.result("CONFIG " + (unanswered ? "broken" : "held"));
        boolean broken = unasked || unanswered;
        mRecord.result(broken ? "BROKEN" : "HELD");
        return broken ? 1 : 0;
    }

    private static String config() {
        return "{\"Version\":3,\"Routes\":[{\"Name\":\"stock\",\"Host\":\"desk.example\",\"Prefix\":\"/stock/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":" + TIMEOUT_MILLIS + ",\"GoalMs\":300,\"Priority\":1,"
                + "\"Service\":\"stock\",\"Attempts\":2,\"Public\":true,\"Sticky\":false,\"CanResume\":false}],"
                + "\"Services\":[{\"Name\":\"stock\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,"
                + "\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,"
                + "\"IdleTimeoutMs\":10000}}";
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
                String body = new String(channel.readBody(head), StandardCharsets.UTF_8);
                String request = head.field("tanagergap-request-id");
                mRun.incrementAndGet();
                if (body.equals(mSentBodies.get(request))) {
                    mRecord.line("i-stock runs %s", request);
                } else if (!mSentBodies.containsKey(request)) {
                    mUnsent.incrementAndGet();
                    mRecord.line("i-stock runs %s, which no requester sent: %s", request, head.first());
                } else {
                    mChanged.incrementAndGet();
                    mRecord.line(
                            "i-stock runs %s with another body: %s",
                            request, body.replace("\r", "\\r").replace("\n", "\\n"));
                }
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

    private void sendThree(int port, int number, int headLength) {
        String first = String.format("5a%06x%08x", number, 1);
        String second = String.format("5a%06x%08x", number, 2);
        String third = String.format("5a%06x%08x", number, 3);
        String note = number < (ROUNDS - 1) * LENGTHS ? NOTE : HOSTILE_NOTE;
        mSentBodies.put(first, "hello");
        mSentBodies.put(second, note);
        mSentBodies.put(third, "");
        String chunked = head("PUT /stock/2f", first) + "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS;
        String head = head("PUT /stock/3f", second) + "Content-Length: " + note.length() + "\r\nX-Note: ";
        head += "n".repeat(headLength - head.length() - 4) + "\r\n\r\n";
        String last = head("GET /stock/4f", third) + "\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            Channel channel = new Channel(socket);
            mRecord.line("client sends %s, %s with a head of %d bytes, and %s", first, second, headLength, third);
            if (mTrouble) {
                send(channel, chunked + head);
                Thread.sleep(PAUSE_MILLIS);
                send(channel, note + last);
                receive(channel, first);
                receive(channel, second);
            } else {
                send(channel, chunked);
                receive(channel, first);
                send(channel, head);
                Thread.sleep(PAUSE_MILLIS);
                send(channel, note);
                receive(channel, second);
                send(channel, last);
            }
            receive(channel, third);
        } catch (IOException e) {
            mRecord.line("the channel of %s fails: %s", second, e);
            mFailed.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String head(String firstWords, String request) {
        return firstWords + " HTTP/1.1\r\nHost: desk.example\r\nTanagergap-Request-Id: " + request
                + "\r\nTanagergap-Deadline-Ms: 4000\r\n";
    }

    private static void send(Channel channel, String text) throws IOException {
        channel.write(text, new byte[0]);
    }

    private void receive(Channel channel, String request) throws IOException {
        long start = System.nanoTime();
        channel.socket.setSoTimeout(TIMEOUT_MILLIS + EXCUSED_MILLIS);
        try {
            Channel.Head head = channel.readHead();
            if (head == null) {
                throw new IOException("closed without an answer");
            }
            channel.readBody(head);
            String answered = head.field("tanagergap-request-id");
            mRecord.line("client gets %d for %s", head.status(), answered);
            mAnswered.incrementAndGet();
            if (System.nanoTime() - start > TIMEOUT_MILLIS * 1_000_000L) {
                mLasted.incrementAndGet();
            }
        } catch (java.net.SocketTimeoutException e) {
            mRecord.line("client has no answer for %s after %d ms", request, TIMEOUT_MILLIS + EXCUSED_MILLIS);
            mLasted.incrementAndGet();
            mUnanswered.incrementAndGet();
        }
    }
}
