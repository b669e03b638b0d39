import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway is stopped while it passes long answers on to requesters that read them over a narrow line. */
final class FlushCase {

    private static final int ROUNDS = 3;
    private static final int REQUESTERS = 3;
    private static final int ANSWER_BYTES = 8_000_000;

    /** What the requester's line carries. */
    private static final int BYTES_PER_S = 1_050_000;

    private static final int TIME_LIMIT_MS = 10_000;
    private static final int GRACE_MS = 8_000;

    public static void main(String[] args) throws Exception {
        int status = 2;
        Site site = new Site(args[0]);
        try {
            status = new FlushCase(site).run();
        } catch (Exception e) {
            site.record.tell("the case couldn't run: %s", e);
        }
        site.record.tell("exit %d", status);
        System.exit(status);
    }

    private final Site mSite;
    private final Map<String, Double> mAnswered = new ConcurrentHashMap<>();
    private final AtomicInteger mComplete = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private volatile double mTermAt;
    private volatile double mEndAt;

    private FlushCase(Site site) {
        mSite = site;
    }

    private int run() throws Exception {
        Recorder record = mSite.record;
        for (int i = 1; i <= 2; i++) {
            new Runner("i-stock-" + i, "stock", 24, mSite.store, record, (runner, head, body, socket) -> {
                record.line("runner %s runs request %s", runner.id, head.get("Tanagergap-Request-Id"));
                Thread.sleep(100);
                Runner.answer(runner, head, socket.getOutputStream(), new byte[ANSWER_BYTES]);
                mAnswered.put(head.get("Tanagergap-Request-Id"), Recorder.now());
                record.line("runner %s has answered request %s whole", runner.id, head.get("Tanagergap-Request-Id"));
            });
        }
        mSite.store.put("op/config", "{\"Version\":3,\"Routes\":[{\"Name\":\"r-stock\",\"Host\":\"review.example\",\"Prefix\":\"/stock/\","
                + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":" + TIME_LIMIT_MS + ",\"GoalMs\":6000,\"Priority\":2,\"Service\":\"stock\",\"Attempts\":1,"
                + "\"Public\":true}],\"Services\":[{\"Name\":\"stock\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\","
                + "\"Tls\":false}]," + Site.limits() + ",\"Tenants\":[]}");
        Gateway gateway = mSite.gateway("front-a", mSite.store.address());
        gateway.start();
        for (int round = 0; round < ROUNDS; round++) {
            if (!gateway.awaitReady(30)) {
                record.tell("the gateway isn't ready");
                return 2;
            }
            Thread.sleep(2000);
            mTermAt = Double.MAX_VALUE;
            List<Thread> requesters = new ArrayList<>();
            for (int i = 0; i < REQUESTERS; i++) {
                String id = String.format("%04x%04x", round, i);
                Thread thread = new Thread(() -> ask(gateway, id));
                thread.start();
                requesters.add(thread);
                Thread.sleep(100);
            }
            Thread.sleep(200);
            if (mSite.trouble) {
                mTermAt = Recorder.now();
                record.tell("SIGTERM to %s", gateway.name);
                gateway.signal("TERM");
                boolean ended = gateway.awaitEnd(GRACE_MS);
                record.tell("%s %s after %.3f s", gateway.name, ended ? "has ended with " + gateway.exitCode() : "is killed", Recorder.now() - mTermAt);
                gateway.kill();
            }
            for (Thread thread : requesters) {
                thread.join();
            }
            if (mSite.trouble) {
                gateway.start();
            }
        }
        record.tell("complete answers %d, broken off %d, other ends %d", mComplete.get(), mLost.get(), mOther.get());
        return mLost.get() > 0 ? 1 : mOther.get() > 0 ? 2 : 0;
    }

    private void ask(Gateway gateway, String id) {
        double sentAt = Recorder.now();
        int read = 0;
        String end = "complete";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 << 10);
            socket.connect(new InetSocketAddress(gateway.host, gateway.front), 1000);
            socket.setSoTimeout(TIME_LIMIT_MS);
            socket.getOutputStream().write(Requester.request("POST", "/stock/list", "Tanagergap-Request-Id: " + id + "\r\nTanagergap-Deadline-Ms: "
                    + TIME_LIMIT_MS + "\r\n", "{}".getBytes()));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                end = head == null ? "channel closed" : "answer " + head.status();
            } else {
                byte[] bytes = new byte[20_000];
                long start = System.nanoTime();
                while (read < head.length()) {
                    int n = in.read(bytes);
                    if (n < 0) {
                        end = "channel closed";
                        break;
                    }
                    read += n;
                    long due = start + (long) (read * 1e9 / BYTES_PER_S);
                    Runner.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
                }
            }
        } catch (IOException e) {
            end = "broken off: " + e.getMessage();
        }
        boolean lost = !end.equals("complete") && mAnswered.containsKey(id) && sentAt < mTermAt && Recorder.now() < mTermAt + GRACE_MS / 1000.0 + 1;
        (end.equals("complete") ? mComplete : lost ? mLost : mOther).incrementAndGet();
        mSite.record.line("request %s sent at %.3f: %s after %d of %d bytes%s%s", id, sentAt, end, read, ANSWER_BYTES,
                mSite.trouble && mTermAt < 1e9 ? String.format(", %.3f s after SIGTERM", Recorder.now() - mTermAt) : "", lost ? "  <-- LOST" : "");
    }
}
