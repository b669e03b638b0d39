import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The gateway is cut off from the store for a while in which large desired states come in quick succession. */
final class StormCase {

    private static final int TENANTS = 12_000;
    private static final double CUT_FOR_S = 5.5;
    private static final int CHANGES = 13;
    private static final int GAP_MS = 330;
    private static final double STABLE_WINDOW_S = 3;
    private static final double CONFIG_APPLY_S = 2;

    public static void main(String[] args) throws Exception {
        int status = 2;
        Site site = new Site(args[0]);
        try {
            status = new StormCase(site).run();
        } catch (Exception e) {
            site.record.tell("the case couldn't run: %s", e);
        }
        site.record.tell("exit %d", status);
        System.exit(status);
    }

    private record Asked(String id, double sentAt, Requester.Outcome outcome) {}

    private final Site mSite;
    private final Map<String, Double> mRan = new ConcurrentHashMap<>();
    private final List<Asked> mAsked = Collections.synchronizedList(new ArrayList<>());
    private int mVersion = 3;

    private StormCase(Site site) {
        mSite = site;
    }

    private int run() throws Exception {
        Recorder record = mSite.record;
        for (int i = 1; i <= 3; i++) {
            new Runner("i-order-" + i, "orders", 24, mSite.store, record, this::work);
        }
        Link link = new Link(mSite.store.address());
        configure(true);
        Gateway gateway = mSite.gateway("front-a", link.address());
        gateway.start();
        if (!gateway.awaitReady(30)) {
            record.tell("the gateway isn't ready");
            return 2;
        }
        Thread.sleep(5000);
        double cutAt = Recorder.now();
        if (mSite.trouble) {
            record.tell("the gateway is cut off from the store, its channels there are reset");
            link.cut();
        }
        Thread.sleep(500);
        double revokedAt = 0;
        double stormAt = Recorder.now();
        for (int i = 0; i < CHANGES; i++) {
            Runner.sleep(Math.max(0, (long) ((stormAt + i * GAP_MS / 1000.0 - Recorder.now()) * 1000)));
            configure(false);
            revokedAt = revokedAt == 0 ? Recorder.now() : revokedAt;
        }
        record.tell("%d desired states in %.2f s", CHANGES, Recorder.now() - stormAt);
        while (Recorder.now() < cutAt + CUT_FOR_S) {
            Thread.sleep(10);
        }
        link.heal();
        double healedAt = Recorder.now();
        record.tell("the gateway reaches the store%s", mSite.trouble ? " again" : "");
        for (int i = 0; i < 100; i++) {
            int number = i;
            Runner.thread(() -> ask(gateway, number));
            Thread.sleep(200);
        }
        Thread.sleep(3000);
        for (String line : gateway.log().split("\n")) {
            if (!line.contains("request refused") && !line.contains("request ended")) {
                record.line("gateway's log: %s", line);
            }
        }
        double from = Math.max(revokedAt + CONFIG_APPLY_S, healedAt + STABLE_WINDOW_S);
        int old = 0;
        int refused = 0;
        for (Asked asked : List.copyOf(mAsked)) {
            boolean counts = asked.sentAt() > from && mRan.containsKey(asked.id());
            old += counts ? 1 : 0;
            refused += asked.outcome().status() == 401 ? 1 : 0;
            record.line("request %s with the revoked key sent at %.3f: %s, runner began it: %s%s", asked.id(), asked.sentAt(), asked.outcome().what(),
                    mRan.get(asked.id()), counts ? "  <-- run with a dropped key" : "");
        }
        record.tell("key revoked at %.3f; asked with it %d times, refused 401 %d; run in touch, later than ConfigApplyMs: %d", revokedAt, mAsked.size(),
                refused, old);
        return old > 0 ? 1 : 0;
    }

    private void configure(boolean withKey) {
        StringBuilder tenants = new StringBuilder("{\"Name\":\"first\",\"ApiKeys\":[" + (withKey ? "\"k-first-0000000000000\"" : "") + "],\"Priority\":1}");
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(String.format(",{\"Name\":\"w%05d\",\"ApiKeys\":[\"n2ctnfzs989anu%05d\",\"anfqasnmgkcuyj%05d\"],\"Priority\":1}", i, i, i));
        }
        String config = "{\"Version\":" + mVersion + ",\"Routes\":[{\"Name\":\"r-order\",\"Host\":\"review.example\",\"Prefix\":\"/order/\","
                + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,\"GoalMs\":386,\"Priority\":2,\"Service\":\"orders\",\"Attempts\":1,"
                + "\"Public\":false}],\"Services\":[{\"Name\":\"orders\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\","
                + "\"Tls\":false}]," + Site.limits() + ",\"Tenants\":[" + tenants + "]}";
        mSite.store.put("op/config", config);
        mSite.record.line("desired state %d of %d bytes confirmed, %s the key", mVersion, config.length(), withKey ? "with" : "without");
        mVersion += 3;
    }

    private void work(Runner runner, Http.Head head, byte[] body, Socket socket) throws IOException, InterruptedException {
        mRan.put(head.get("Tanagergap-Request-Id"), Recorder.now());
        Thread.sleep(30);
        Runner.answer(runner, head, socket.getOutputStream(), "{\"order\":\"accepted\"}".getBytes());
    }

    private void ask(Gateway gateway, int number) {
        String id = String.format("%08x", number);
        double sentAt = Recorder.now();
        try (Requester requester = new Requester(gateway)) {
            Requester.Outcome outcome = requester.ask(Requester.request("POST", "/order/new", "Tanagergap-Request-Id: " + id
                    + "\r\nTanagergap-Deadline-Ms: 4000\r\nX-Api-Key: k-first-0000000000000\r\n", "{}".getBytes()), 4500);
            mAsked.add(new Asked(id, sentAt, outcome));
        } catch (IOException e) {
            mSite.record.line("no channel: %s", e);
        }
    }
}
