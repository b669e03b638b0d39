import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Two runners. One answers requests with a long body before it has read the body, keeps the channel
 * and reads on later. The other is sound in both runs and serves short orders. With trouble off,
 * the first one reads each body before it answers.
 */
public final class EarlyAnswerCase {
    private static final int GATEWAYS = 2;
    private static final int BODY_BYTES = 4_000_000;
    private static final int REPORT_CHANNELS = 3;
    private static final long REPORT_PAUSE_MILLIS = 400;
    private static final int ORDER_CHANNELS = 8;
    private static final long ORDER_PAUSE_MILLIS = 40;
    private static final long ORDER_WORK_MILLIS = 86;
    private static final long READ_ON_MILLIS = 5_000;
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long RUN_MILLIS = 50_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final int RUNNER_PATIENCE_MILLIS = 30_000;
    private static final int MAX_LOST = 3;
    private static final int MIN_ENDS = 3;

    private final Record mRecord;
    private final boolean mTrouble;
    private final Set<String> mPassedOn = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mRun = new AtomicInteger();
    private final AtomicInteger mReportsAnswered = new AtomicInteger();
    private final AtomicInteger mReportsRefused = new AtomicInteger();
    private final AtomicInteger mOrdersAnswered = new AtomicInteger();
    private final AtomicInteger mOrdersRefused = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicIntegerArray mEnds = new AtomicIntegerArray(GATEWAYS);
    private final AtomicReferenceArray<Gateway> mGateways = new AtomicReferenceArray<>(GATEWAYS);
    private volatile boolean mEnd;

    private EarlyAnswerCase(Record record, boolean trouble) {
        mRecord = record;
        mTrouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Record record = new Record(Path.of(arguments[1]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try {
            status = new EarlyAnswerCase(record, trouble).run(folder);
        } catch (IOException e) {
            record.result("the case could not run: " + e);
            status = 2;
        }
        Runtime.getRuntime().exit(status);
    }

    private int run(Path folder) throws Exception {
        Store store = new Store();
        ServerSocket reports = runner("i-reports", true);
        ServerSocket orders = runner("i-orders", false);
        store.put("op/config", config());
        store.put("servers/i-reports", entry("reports", reports.getLocalPort()));
        store.put("servers/i-orders", entry("orders", orders.getLocalPort()));
        for (int i = 0; i < GATEWAYS; i++) {
            mGateways.set(i, new Gateway("front-" + (i + 1), store.port(), folder));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            if (!mGateways.get(i).awaitReady(20_000)) {
                mRecord.result("a gateway did not become ready");
                mGateways.get(i).log().forEach(line -> mRecord.line("gateway: %s", line));
                return 2;
            }
        }
        mRecord.line("the gateways are ready");
        for (int i = 0; i < GATEWAYS; i++) {
            int gateway = i;
            for (int j = 0; j < ORDER_CHANNELS; j++) {
                String prefix = "0d" + i + j;
                Store.start("orders", () -> sendAll(gateway, "orders", prefix, 600, ORDER_PAUSE_MILLIS));
            }
        }
        Thread.sleep(STABLE_WINDOW_MILLIS + 500);
        int before = mLost.get();
        for (int i = 0; i < GATEWAYS; i++) {
            int gateway = i;
            for (int j = 0; j < REPORT_CHANNELS; j++) {
                String prefix = "9e" + i + j;
                Store.start(
                        "reports",
                        () -> sendAll(gateway, "reports", prefix, BODY_BYTES, REPORT_PAUSE_MILLIS));
            }
        }
        watch(store, folder);
        mEnd = true;
        Thread.sleep(300);
        for (int i = 0; i < GATEWAYS; i++) {
            mGateways.get(i).process.destroyForcibly().waitFor();
        }
        return result(before);
    }

    /** Restarts a gateway that ends by itself, as the platform does. */
    private void watch(Store store, Path folder) throws Exception {
        long end = System.currentTimeMillis() + RUN_MILLIS;
        while (System.currentTimeMillis() < end) {
            for (int i = 0; i < GATEWAYS; i++) {
                Gateway gateway = mGateways.get(i);
                if (!gateway.process.isAlive()) {
                    mEnds.incrementAndGet(i);
                    mRecord.line("front-%d ended by itself with status %d", i + 1, gateway.process.exitValue());
                    for (String line : gateway.log()) {
                        if (!line.startsWith("{")) {
                            mRecord.line("front-%d said: %s", i + 1, line);
                        }
                    }
                    Thread.sleep(RESTART_MILLIS);
                    mGateways.set(i, new Gateway("front-" + (i + 1), store.port(), folder));
                }
            }
            Thread.sleep(50);
        }
    }

    private int result(int lostBefore) {
        int machines = 0;
        for (int i = 0; i < GATEWAYS; i++) {
            mRecord.result("front-" + (i + 1) + " ended by itself " + mEnds.get(i) + " times");
            machines += mEnds.get(i) >= MIN_ENDS ? 1 : 0;
        }
        int lost = mLost.get() - lostBefore;
        mRecord.result(
                "reports answered " + mReportsAnswered + ", refused as not run " + mReportsRefused
                        + "; orders answered " + mOrdersAnswered + ", refused as not run "
                        + mOrdersRefused + "; requests run " + mRun);
        mRecord.result(
                "LOST: " + lost + " orders from kept channels were passed on to the sound runner"
                        + " and their channel closed without an answer; " + MAX_LOST + " are allowed");
        mRecord.result(
                "Fault: the processes of " + machines + " machines ended by themselves " + MIN_ENDS
                        + " times or more; two are a fault");
        boolean broken = lost > MAX_LOST || machines >= 2;
        mRecord.result(broken ? "BROKEN" : "HELD");
        return broken ? 1 : 0;
    }

    private static String config() {
        return "{\"Version\":3,\"Routes\":["
                + "{\"Name\":\"reports\",\"Host\":\"desk.example\",\"Prefix\":\"/reports/\",\"Kind\":\"idempotent\","
                + "\"TimeoutMs\":4000,\"GoalMs\":1000,\"Priority\":1,\"Service\":\"reports\",\"Attempts\":2,"
                + "\"Public\":true,\"Sticky\":false,\"CanResume\":false},"
                + "{\"Name\":\"orders\",\"Host\":\"desk.example\",\"Prefix\":\"/orders/\",\"Kind\":\"non_idempotent\","
                + "\"TimeoutMs\":4000,\"GoalMs\":400,\"Priority\":0,\"Service\":\"orders\",\"Attempts\":1,"
                + "\"Public\":true,\"Sticky\":false,\"CanResume\":false}],"
                + "\"Services\":["
                + "{\"Name\":\"reports\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false},"
                + "{\"Name\":\"orders\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,"
                + "\"IdleTimeoutMs\":10000}}";
    }

    private static String entry(String service, int port) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port
                + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\","
                + "\"ColdLeftMs\":0,\"Seq\":1,\"born\":1790000000000}";
    }

    // Runners

    private ServerSocket runner(String id, boolean early) throws IOException {
        ServerSocket server = new ServerSocket();
        // A small window, so that a peer that does not read blocks the writer.
        server.setReceiveBufferSize(64 << 10);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Store.start(
                id,
                () -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            Store.start(id + " channel", () -> serve(id, early, socket));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return server;
    }

    private void serve(String id, boolean early, Socket socket) {
        Channel channel = null;
        try {
            channel = new Channel(socket);
            socket.setSoTimeout(RUNNER_PATIENCE_MILLIS);
            for (Channel.Head head = channel.readHead(); head != null; head = channel.readHead()) {
                if (head.path().startsWith("/-/report")) {
                    channel.answer(200, "Content-Type: application/json\r\n", "{\"born\":1790000000000}");
                } else if (!id.equals(head.field("tanagergap-expect-instance"))) {
                    channel.readBody(head);
                    channel.answer(421, "Tanagergap-Runner-Id: " + id + "\r\n", "");
                } else {
                    run(id, early && mTrouble, channel, head);
                }
                if ("close".equalsIgnoreCase(head.field("connection"))) {
                    break;
                }
            }
            channel.close();
        } catch (SocketTimeoutException e) {
            mRecord.line("%s closes a channel: the rest of a body is %d ms late", id,
                    RUNNER_PATIENCE_MILLIS);
            channel.close();
        } catch (IOException e) {
            if (channel != null) {
                channel.close();
            }
        }
    }

    private void run(String id, boolean early, Channel channel, Channel.Head head) throws IOException {
        String request = head.field("tanagergap-request-id");
        mPassedOn.add(request);
        mRun.incrementAndGet();
        if (!early) {
            channel.readBody(head);
        }
        if (id.equals("i-orders")) {
            sleep(ORDER_WORK_MILLIS);
        }
        mRecord.line("%s runs %s and answers 200%s", id, request, early ? " before it has read the body" : "");
        channel.answer(
                200,
                "Tanagergap-Request-Id: " + request
                        + "\r\nTanagergap-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
                "done by " + id);
        if (early) {
            sleep(READ_ON_MILLIS);
            channel.readBody(head);
            mRecord.line("%s has now read the body of %s", id, request);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Clients

    private void sendAll(int gateway, String kind, String prefix, int bytes, long pauseMillis) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'a');
        Optional<Channel> kept = Optional.empty();
        for (int i = 0; !mEnd; i++) {
            String id = prefix + String.format("%012x", i);
            kept = send(mGateways.get(gateway), kind, id, body, kept);
            sleep(pauseMillis);
        }
    }

    /** Sends one request and returns the channel if it is kept. */
    private Optional<Channel> send(
            Gateway gateway, String kind, String id, byte[] body, Optional<Channel> kept) {
        Channel channel = kept.orElse(null);
        try {
            if (channel == null) {
                Socket socket = new Socket();
                socket.connect(new InetSocketAddress("127.0.0.1", gateway.port), 1000);
                channel = new Channel(socket);
                socket.setSoTimeout(6000);
            }
            channel.write(
                    "POST /" + kind + "/2f HTTP/1.1\r\nHost: desk.example\r\nTanagergap-Request-Id: "
                            + id + "\r\nTanagergap-Deadline-Ms: 4000\r\nContent-Length: "
                            + body.length + "\r\n\r\n",
                    body);
            Channel.Head head = channel.readHead();
            if (head == null) {
                throw new IOException("the channel is closed");
            }
            channel.readBody(head);
            count(kind, head.status());
            mRecord.line("client gets %d for %s", head.status(), id);
            if ("close".equalsIgnoreCase(head.field("connection"))) {
                channel.close();
                return Optional.empty();
            }
            return Optional.of(channel);
        } catch (IOException e) {
            if (channel != null) {
                channel.close();
            }
            if (!mEnd) {
                unanswered(kind, id, kept.isPresent(), e);
            }
            sleep(200);
            return Optional.empty();
        }
    }

    private void unanswered(String kind, String id, boolean kept, IOException failure) {
        boolean passedOn = mPassedOn.contains(id);
        mRecord.line(
                "client gets no answer for %s%s%s: %s",
                id,
                passedOn ? ", which was passed on to a runner" : "",
                kept ? ", from a kept channel" : "",
                failure);
        if (kind.equals("orders") && passedOn && kept) {
            mLost.incrementAndGet();
        }
    }

    private void count(String kind, int status) {
        boolean orders = kind.equals("orders");
        if (status == 200) {
            (orders ? mOrdersAnswered : mReportsAnswered).incrementAndGet();
        } else if (status == 503) {
            (orders ? mOrdersRefused : mReportsRefused).incrementAndGet();
        }
    }
}
