import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An engine leaves while memory for a prompt that spans several engines is being reserved at one that is cut off. */
final class LeavingCase {

    /** One of four leaves (scale_in, share 0.25) and one of four is cut off. */
    private static final int ENGINES = 4;

    private static final int TRIALS = 6;
    private static final double DRAIN_S = 2.0;

    /** How long the engine serves after its notice; the page says DrainMs and a little longer. */
    private static final double LEAVES_AFTER_S = 3.0;

    private static final double CUT_FOR_S = 2.4;
    private static final int EVENTS = 16;
    private static final int EVENT_MS = 120;

    /** The short prompt has a long answer. */
    private static final int SHORT_EVENTS = 35;

    public static void main(String[] args) throws Exception {
        int status = 2;
        Site site = new Site(args[0]);
        try {
            status = new LeavingCase(site).run();
        } catch (Exception e) {
            site.record.tell("the case couldn't run: %s", e);
        }
        site.record.tell("exit %d", status);
        System.exit(status);
    }

    private record Arrival(Runner runner, double at) {}

    private final Site mSite;
    private final Map<String, Arrival> mArrivals = new ConcurrentHashMap<>();
    private final List<Runner> mEngines = new ArrayList<>();
    private final java.util.Random mPhase = new java.util.Random(28);
    private int mStarted;

    private LeavingCase(Site site) {
        mSite = site;
    }

    private int run() throws Exception {
        Recorder record = mSite.record;
        mSite.store.put("op/config", "{\"Version\":3,\"Routes\":[{\"Name\":\"r-archive\",\"Host\":\"review.example\",\"Prefix\":\"/archive/\","
                + "\"Kind\":\"stream\",\"TimeoutMs\":15000,\"GoalMs\":5000,\"Priority\":2,\"Service\":\"fit\",\"Attempts\":1,"
                + "\"Public\":true,\"Sticky\":true,\"CanResume\":false,\"GapGoalMs\":1000}],\"Services\":[{\"Name\":\"fit\",\"HealthPath\":"
                + "\"/healthz\",\"MaxConns\":374,\"Protocol\":\"h1\",\"Tls\":false," + Site.engine() + "}]," + Site.limits()
                + ",\"Tenants\":[]}");
        while (mEngines.size() < ENGINES) {
            startEngine();
        }
        Gateway gateway = mSite.gateway("front-a", mSite.store.address());
        gateway.start();
        if (!gateway.awaitReady(30)) {
            record.tell("the gateway isn't ready");
            return 2;
        }
        Thread.sleep(2000);
        int late = 0;
        int lost = 0;
        int complete = 0;
        for (int trial = 1; trial <= TRIALS; trial++) {
            // A short prompt is sent to the engine whose id has the lowest hash, and leaves too little memory there. A long
            // one, which needs the three others, is sent to the one with the highest hash; the others help, by their ids.
            mEngines.sort(Comparator.comparingInt(engine -> engine.id.hashCode()));
            Runner leaving = mEngines.get(3);
            Runner cut = mEngines.get(1).id.compareTo(mEngines.get(2).id) < 0 ? mEngines.get(1) : mEngines.get(2);
            String shortId = String.format("b%07x", trial);
            Thread shortPrompt = new Thread(() -> askShort(gateway, shortId));
            shortPrompt.start();
            Thread.sleep(400);
            Arrival shortArrival = mArrivals.get(shortId);
            if (shortArrival == null || shortArrival.runner() != mEngines.get(0)) {
                record.line("the short prompt runs elsewhere: %s", shortArrival == null ? "nowhere" : shortArrival.runner().id);
            }
            double noticeAt = Double.MAX_VALUE;
            if (mSite.trouble) {
                cut.silentUntilNanos = System.nanoTime() + (long) (CUT_FOR_S * 1e9);
                leaving.drain();
                noticeAt = Recorder.now();
                record.line("%s reports draining, confirmed; %s is cut off for %.1f s", leaving.id, cut.id, CUT_FOR_S);
                double leavesAt = noticeAt + LEAVES_AFTER_S;
                Runner.thread(() -> {
                    Runner.sleep((long) ((leavesAt - Recorder.now()) * 1000));
                    leaving.exit();
                    record.line("%s exits", leaving.id);
                });
                Thread.sleep(50);
            }
            String id = String.format("a%07x", trial);
            Requester.Outcome outcome;
            double sentAt = Recorder.now();
            try (Requester requester = new Requester(gateway)) {
                outcome = requester.ask(Requester.request("POST", "/archive/new", "Tanagergap-Request-Id: " + id
                        + "\r\nTanagergap-Deadline-Ms: 15000\r\nTanagergap-Model: m\r\nTanagergap-Token-Count: 600000,688\r\n"
                        + "Tanagergap-Prompt-Prefix: 5c1e07a2:40,e4402b7d" + trial + ":599960\r\n", new byte[150_000]), 16_000);
            }
            Arrival arrival = mArrivals.get(id);
            boolean isLate = arrival != null && arrival.runner() == leaving && arrival.at() > noticeAt + DRAIN_S;
            boolean whole = outcome.status() == 200 && new String(outcome.body(), StandardCharsets.UTF_8).contains("id: " + EVENTS + "\n");
            late += isLate ? 1 : 0;
            lost += isLate && !whole ? 1 : 0;
            complete += whole ? 1 : 0;
            record.tell("request %s sent at %.3f%s: %s; %s%s", id, sentAt,
                    arrival == null ? "" : String.format(", reached %s at %.3f, %.3f s after its notice", arrival.runner().id, arrival.at(),
                            mSite.trouble && arrival.runner() == leaving ? arrival.at() - noticeAt : 0),
                    outcome.what(), whole ? "stream complete" : "stream not complete", isLate ? "  <-- DRAIN" : "");
            if (mSite.trouble) {
                while (!leaving.hasEnded()) {
                    Thread.sleep(50);
                }
                mEngines.remove(leaving);
                startEngine();
            }
            // Not in step with the gateway's polls.
            shortPrompt.join();
            Thread.sleep(3000 + mPhase.nextInt(600));
        }
        record.tell("%d of %d requests reached a leaving engine later than DrainMs, %d of them were lost; %d streams complete", late, TRIALS, lost, complete);
        if (!mSite.trouble && complete < TRIALS) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    private void askShort(Gateway gateway, String id) {
        try (Requester requester = new Requester(gateway)) {
            Requester.Outcome outcome = requester.ask(Requester.request("POST", "/archive/new", "Tanagergap-Request-Id: " + id
                    + "\r\nTanagergap-Deadline-Ms: 15000\r\nTanagergap-Model: m\r\nTanagergap-Token-Count: 20000,1500\r\n"
                    + "Tanagergap-Prompt-Prefix: 5c1e07a2:40," + id + ":19960\r\n", new byte[6_000]), 16_000);
            mSite.record.line("request %s (short prompt): %s", id, outcome.what());
        } catch (IOException e) {
            mSite.record.line("request %s (short prompt): %s", id, e);
        }
    }

    private void startEngine() throws IOException {
        mEngines.add(new Runner(String.format("i-%07x", (++mStarted) * 7919 * 131), "fit", 11, mSite.store, mSite.record, this::stream));
    }

    private void stream(Runner runner, Http.Head head, byte[] body, Socket socket) throws IOException, InterruptedException {
        String id = head.get("Tanagergap-Request-Id");
        mArrivals.put(id, new Arrival(runner, Recorder.now()));
        mSite.record.line("runner %s: request %s, helpers %s", runner.id, id, head.get("Tanagergap-Helpers"));
        OutputStream out = socket.getOutputStream();
        if (!Runner.useTickets(head.get("Tanagergap-Helpers"), true)) {
            Runner.send(out, "503 Service Unavailable", "Tanagergap-Not-Run: 1\r\nTanagergap-Request-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        try {
            write(runner, head, out);
        } finally {
            Runner.useTickets(head.get("Tanagergap-Helpers"), false);
        }
    }

    private void write(Runner runner, Http.Head head, OutputStream out) throws IOException, InterruptedException {
        Thread.sleep(600);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Runner.stamp(runner, head) + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        int events = head.get("Tanagergap-Token-Count").startsWith("20000") ? SHORT_EVENTS : EVENTS;
        for (int i = 1; i <= events; i++) {
            byte[] event = ("id: " + i + "\ndata: " + "x".repeat(40) + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(event);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(EVENT_MS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
