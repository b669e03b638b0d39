import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** A burst of requests with long bodies, each within the limits of the desired state. */
final class BurstCase {

    /** Requests a second; a burst has 2.4 times as many, as in the site file. */
    private static final double USUAL_PER_S = 8;

    private static final double BURST_X = 2.4;
    private static final double BURST_AT_S = 10;
    private static final double BURST_FOR_S = 6.5;
    private static final double LENGTH_S = 45;
    private static final int TIMEOUT_MS = 10_000;
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int UPLOAD_MS = 1_500;
    private static final int WORK_MS = 500;

    public static void main(String[] args) throws Exception {
        int status = 2;
        Site site = new Site(args[0]);
        try {
            status = new BurstCase(site).run();
        } catch (Exception e) {
            site.record.tell("the case couldn't run: %s", e);
        }
        site.record.tell("exit %d", status);
        System.exit(status);
    }

    private record Asked(String id, double sentAt, int bytes, Requester.Outcome outcome) {}

    private final Site mSite;
    private final Map<String, Integer> mRan = new ConcurrentHashMap<>();
    private final List<Asked> mAsked = Collections.synchronizedList(new ArrayList<>());

    private BurstCase(Site site) {
        mSite = site;
    }

    private int run() throws Exception {
        Recorder record = mSite.record;
        for (int i = 1; i <= 6; i++) {
            new Runner("i-archive-" + i, "archive", 11, mSite.store, record, this::work);
        }
        mSite.store.put("op/config", "{\"Version\":3,\"Routes\":[{\"Name\":\"r-archive\",\"Host\":\"review.example\",\"Prefix\":\"/archive/\","
                + "\"Kind\":\"idempotent\",\"TimeoutMs\":" + TIMEOUT_MS + ",\"GoalMs\":5000,\"Priority\":2,\"Service\":\"archive\","
                + "\"Attempts\":2,\"Public\":true}],\"Services\":[{\"Name\":\"archive\",\"HealthPath\":\"/healthz\",\"MaxConns\":374,"
                + "\"Protocol\":\"h1\",\"Tls\":false}]," + Site.limits() + ",\"Tenants\":[]}");
        Gateway gateway = mSite.gateway("front-a", mSite.store.address());
        gateway.start();
        if (!gateway.awaitReady(30)) {
            record.tell("the gateway isn't ready");
            return 2;
        }
        Thread.sleep(1500);
        double start = Recorder.now();
        double burstEnd = start + BURST_AT_S + BURST_FOR_S;
        Random random = new Random(28);
        int count = 0;
        double at = 0;
        while (at < LENGTH_S) {
            boolean burst = mSite.trouble && at >= BURST_AT_S && at < BURST_AT_S + BURST_FOR_S;
            if (burst && count > 0 && at - 1 / (USUAL_PER_S * BURST_X) < BURST_AT_S) {
                record.tell("burst: %.1f times the usual requests for %.1f s", BURST_X, BURST_FOR_S);
            }
            String id = String.format("%08x", ++count);
            int bytes = MAX_BODY_BYTES * 3 / 4 + random.nextInt(MAX_BODY_BYTES / 4);
            Runner.thread(() -> ask(gateway, id, bytes));
            at += (0.8 + 0.4 * random.nextDouble()) / (USUAL_PER_S * (burst ? BURST_X : 1));
            Runner.sleep(Math.max(0, (long) ((start + at - Recorder.now()) * 1000)));
        }
        Thread.sleep(TIMEOUT_MS + UPLOAD_MS + 1500);
        record.tell("the process %s and says that it is %s", gateway.isAlive() ? "runs" : "has ended", gateway.isReady() ? "ready" : "not ready");
        String log = gateway.log();
        record.tell("lines of the gateway's log with OutOfMemoryError: %d", log.split("OutOfMemoryError", -1).length - 1);
        for (String line : log.split("\n")) {
            if (line.contains("executor terminated") || line.startsWith("Exception in thread")) {
                record.line("gateway's log: %s", line);
            }
        }
        return judge(burstEnd);
    }

    /**
     * CONFIG: of the requests that are unanswered at their route's TimeoutMs, more than half have no answer half a second
     * later; and eight or more, over a quarter. Only requests count that were sent 8 s (the 5 s of "Choked" and
     * StableWindowMs) or more after the end of the burst.
     */
    private int judge(double burstEnd) {
        int answered = 0;
        int unanswered = 0;
        int late = 0;
        for (Asked asked : List.copyOf(mAsked)) {
            Requester.Outcome outcome = asked.outcome();
            double took = outcome.endedAt() - asked.sentAt();
            boolean counts = asked.sentAt() > burstEnd + 8;
            answered += outcome.status() == 200 ? 1 : 0;
            boolean overTime = counts && (outcome.status() == -1 || took > TIMEOUT_MS / 1000.0);
            boolean none = overTime && (outcome.status() == -1 || took > TIMEOUT_MS / 1000.0 + 0.5);
            unanswered += overTime ? 1 : 0;
            late += none ? 1 : 0;
            mSite.record.line("request %s of %d bytes sent at %.3f: %s after %.3f s; runner read %s bytes%s%s", asked.id(), asked.bytes(), asked.sentAt(),
                    outcome.what(), took, mRan.get(asked.id()), counts ? ", counts" : "", none ? "  <-- no answer" : "");
        }
        mSite.record.tell("sent %d, answered 200 %d; sent 8 s after the burst or later: %d unanswered at TimeoutMs, %d of them 0.5 s later", mAsked.size(),
                answered, unanswered, late);
        return late >= 8 && late * 2 > unanswered ? 1 : 0;
    }

    private void work(Runner runner, Http.Head head, byte[] body, Socket socket) throws IOException, InterruptedException {
        mRan.put(head.get("Tanagergap-Request-Id"), body.length);
        Thread.sleep(WORK_MS);
        Runner.answer(runner, head, socket.getOutputStream(), ("{\"read\":" + body.length + "}").getBytes());
    }

    private void ask(Gateway gateway, String id, int bytes) {
        byte[] request = Requester.request("POST", "/archive/new", "Tanagergap-Request-Id: " + id + "\r\nTanagergap-Deadline-Ms: 15000\r\n",
                new byte[bytes]);
        double sentAt = Recorder.now();
        Requester.Outcome outcome;
        try (Requester requester = new Requester(gateway)) {
            sentAt = Recorder.now();
            outcome = requester.askPaced(request, UPLOAD_MS, TIMEOUT_MS + 1000);
        } catch (IOException e) {
            outcome = new Requester.Outcome(0, null, new byte[0], false, "no channel: " + e.getMessage(), Recorder.now());
        }
        mAsked.add(new Asked(id, sentAt, bytes, outcome));
    }
}
