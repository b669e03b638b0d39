import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send two idempotent requests on a kept channel, the first with a body in chunks, and
 * do not wait for the first answer before they send the second. With trouble off they wait.
 */
public final class PipelineCase {
    private static final int ROUNDS = 3;
    private static final int LENGTHS = 60;
    private static final int FIRST_LENGTH = 970;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int EXCUSED_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;
    private static final String CHUNKS = "5\r\nhello\r\n0\r\n\r\n";

    private final Record mRecord;
    private final boolean mTrouble;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLasted = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();

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
        List<Runnable> pairs = new ArrayList<>();
        for (int i = 0; i < ROUNDS * LENGTHS; i++) {
            int number = i;
            pairs.add(() -> sendPair(gateway.port, number, FIRST_LENGTH + number % LENGTHS));
        }
        pairs.forEach(clients::execute);
        clients.shutdown();
        boolean done = clients.awaitTermination(90, TimeUnit.SECONDS);
        boolean alive = gateway.process.isAlive();
        gateway.process.destroyForcibly().waitFor();
        mRecord.result(
                mAnswered + " requests answered, " + mFailed + " failed; " + mLasted
                        + " lasted longer than their route's timeout, " + mUnanswered
                        + " of them had no answer " + EXCUSED_MILLIS + " ms later");
        if (!done || !alive) {
            mRecord.result("the case could not be completed");
            return 2;
        }
        boolean broken = mUnanswered.get() >= MIN_UNANSWERED && 2 * mUnanswered.get() > mLasted.get();
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
                channel.readBody(head);
                String request = head.field("tanagergap-request-id");
                mRecord.line("i-stock runs %s", request);
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

    private void sendPair(int port, int number, int headLength) {
        String first = String.format("5a%06x%08x", number, 1);
        String second = String.format("5a%06x%08x", number, 2);
        String start = "PUT /stock/2f HTTP/1.1\r\nHost: desk.example\r\nTanagergap-Request-Id: " + first
                + "\r\nTanagergap-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS;
        String head = "GET /stock/3f HTTP/1.1\r\nHost: desk.example\r\nTanagergap-Request-Id: " + second
                + "\r\nTanagergap-Deadline-Ms: 4000\r\nX-Note: ";
        String next = head + "n".repeat(headLength - head.length() - 4) + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            Channel channel = new Channel(socket);
            if (mTrouble) {
                mRecord.line("client sends %s and %s together, the second head has %d bytes", first, second, headLength);
                send(channel, start + next);
                receive(channel, first);
            } else {
                mRecord.line("client sends %s", first);
                send(channel, start);
                receive(channel, first);
                mRecord.line("client sends %s, the head has %d bytes", second, headLength);
                send(channel, next);
            }
            receive(channel, second);
        } catch (IOException e) {
            mRecord.line("the channel of %s fails: %s", second, e);
            mFailed.incrementAndGet();
        }
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
