import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Gateways are stopped and started in turn while requesters use kept channels. */
final class DrainCase {

    private static final int REQUESTERS = 900;

    public static void main(String[] args) throws Exception {
        int status = 2;
        Site site = new Site(args[0]);
        try {
            status = new DrainCase(site).run();
        } catch (Exception e) {
            site.record.tell("the case couldn't run: %s", e);
        }
        site.record.tell("exit %d", status);
        System.exit(status);
    }

    private final Site mSite;
    private final Map<String, Double> mRan = new ConcurrentHashMap<>();
    private final Set<String> mInRotation = ConcurrentHashMap.newKeySet();
    private final Map<String, Double> mTermed = new ConcurrentHashMap<>();
    private final AtomicInteger mSent = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final java.util.Queue<Unanswered> mUnanswered = new java.util.concurrent.ConcurrentLinkedQueue<>();
    private volatile boolean mStop;

    private void restart(Gateway gateway) {
        try {
            mTermed.put(gateway.name, Recorder.now());
            mSite.record.tell("SIGTERM to %s", gateway.name);
            gateway.signal("TERM");
            boolean ended = gateway.awaitEnd(8_000);
            mSite.record.tell("%s %s", gateway.name, ended ? "has ended with " + gateway.exitCode() : "is killed after the grace");
            if (!ended) {
                gateway.kill();
            }
            gateway.start();
        } catch (IOException | InterruptedException e) {
            mSite.record.tell("restart of %s failed: %s", gateway.name, e);
        }
    }

    private record Unanswered(String id, String gateway, double sentAt, Double term, Requester.Outcome outcome) {}

    private DrainCase(Site site) {
        mSite = site;
    }

    private int run() throws Exception {
        Recorder record = mSite.record;
        for (int i = 1; i <= 4; i++) {
            new Runner("i-order-" + i, "orders", 24, mSite.store, record, this::work);
        }
        mSite.store.put("op/config", "{\"Version\":3,\"Routes\":[{\"Name\":\"r-order\",\"Host\":\"review.example\",\"Prefix\":\"/order/\","
                + "\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,\"GoalMs\":386,\"Priority\":2,\"Service\":\"orders\",\"Attempts\":1,"
                + "\"Public\":true}],\"Services\":[{\"Name\":\"orders\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\","
                + "\"Tls\":false}]," + Site.limits() + ",\"Tenants\":[]}");
        for (int i = 1; i <= 5; i++) {
            mSite.gateway("front-" + i, mSite.store.address()).start();
        }
        for (Gateway gateway : mSite.gateways) {
            if (!gateway.awaitReady(30)) {
                record.tell("%s isn't ready", gateway.name);
                return 2;
            }
        }
        Runner.thread(this::balance);
        Thread.sleep(1500);
        for (int i = 0; i < REQUESTERS; i++) {
            int number = i;
            Runner.thread(() -> requester(number));
        }
        Thread.sleep(9_000);
        for (int round = 0; round < 5; round++) {
            for (Gateway gateway : mSite.gateways) {
                if (mSite.trouble) {
                    Runner.thread(() -> restart(gateway));
                }
                Thread.sleep(2000);
            }
            Thread.sleep(8_000);
        }
        Thread.sleep(4500);
        mStop = true;
        mUnanswered.forEach(this::judge);
        record.tell("sent %d, answered 200 %d, run and ended without an answer %d, other ends %d", mSent.get(), mAnswered.get(), mLost.get(), mOther.get());
        return mLost.get() > 0 ? 1 : 0;
    }

    /**
     * The rule counts a request that the stopped machine has read whole and passed on and that ends without a complete
     * answer, from the SIGTERM until GraceS and 1 s after it. Only a request that was sent no later than 3 s after the
     * SIGTERM may be cut in the last sixth of GraceS; nothing here ends so late.
     */
    private void judge(Unanswered request) {
        Double ran = mRan.get(request.id());
        Double term = request.term();
        boolean lost = request.outcome().status() == 0 && ran != null && term != null && request.outcome().endedAt() < term + 9;
        (lost ? mLost : mOther).incrementAndGet();
        mSite.record.line("request %s to %s sent at %.3f (%s): %s at %.3f; runner began it: %s%s", request.id(), request.gateway(), request.sentAt(),
                term == null ? "no SIGTERM" : String.format("%.3f s after SIGTERM", request.sentAt() - term), request.outcome().what(),
                request.outcome().endedAt(), ran == null ? "no" : String.format("at %.3f", ran), lost ? "  <-- LOST" : "");
    }

    private void work(Runner runner, Http.Head head, byte[] body, java.net.Socket socket) throws IOException, InterruptedException {
        mRan.put(head.get("Tanagergap-Request-Id"), Recorder.now());
        mSite.record.line("runner %s runs request %s", runner.id, head.get("Tanagergap-Request-Id"));
        Thread.sleep(30);
        Runner.answer(runner, head, socket.getOutputStream(), "{\"order\":\"accepted\"}".getBytes());
    }

    private void balance() {
        Map<String, Integer> misses = new java.util.HashMap<>();
        while (!mStop) {
            for (Gateway gateway : mSite.gateways) {
                if (gateway.isReady()) {
                    misses.put(gateway.name, 0);
                    mInRotation.add(gateway.name);
                } else if (misses.merge(gateway.name, 1, Integer::sum) >= 2) {
                    mInRotation.remove(gateway.name);
                }
            }
            Runner.sleep(1000);
        }
    }

    private Gateway choose(Random random) {
        while (true) {
            Gateway gateway = mSite.gateways.get(random.nextInt(mSite.gateways.size()));
            if (mInRotation.contains(gateway.name) || mInRotation.isEmpty()) {
                return gateway;
            }
        }
    }

    private void requester(int number) {
        Random random = new Random(number);
        Requester channel = null;
        int count = 0;
        Runner.sleep(random.nextInt(4000));
        while (!mStop) {
            Runner.sleep(4000 - 20 + random.nextInt(40));
            if (channel != null && channel.isClosed()) {
                channel.close();
                channel = null;
            }
            try {
                if (channel == null) {
                    channel = new Requester(choose(random));
                }
            } catch (IOException e) {
                continue;
            }
            String id = String.format("%04x%04x", number, count++);
            byte[] request = Requester.request("POST", "/order/new", "Tanagergap-Request-Id: " + id
                    + "\r\nTanagergap-Deadline-Ms: 4000\r\nContent-Type: application/json\r\n", "{\"lids\":400}".getBytes());
            mSent.incrementAndGet();
            double sentAt = Recorder.now();
            Requester.Outcome outcome = channel.ask(request, 4500);
            mSite.record.line("request %s to %s sent at %.3f: %s", id, channel.gateway.name, sentAt, outcome.what());
            if (outcome.status() == 200) {
                mAnswered.incrementAndGet();
            } else if (!mStop) {
                mUnanswered.add(new Unanswered(id, channel.gateway.name, sentAt, mTermed.get(channel.gateway.name), outcome));
            }
            if (outcome.status() <= 0 || outcome.head().closes()) {
                channel.close();
                channel = null;
            }
        }
        if (channel != null) {
            channel.close();
        }
    }
}
