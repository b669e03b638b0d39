import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A runner as PROTOCOL.md describes it: it registers in the store, answers reports and orders, and hands requests to
 * its work. It serves one request at a time on a channel.
 */
final class Runner {

    private static final long MEMORY_TOKENS = 232_000;
    private static final long MAX_HOLD_MS = 20_000;
    private static final Map<String, Runner> ALL = new ConcurrentHashMap<>();

    /** Memory that is set aside. */
    private static final class Ticket {
        private long mTokens;
        private long mSince;
        private long mUntil;
        private boolean mUsed;
    }

    /** What the runner does with a request. */
    interface Work {
        void run(Runner runner, Http.Head head, byte[] body, Socket socket) throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    private final int mSlots;
    private final Store mStore;
    private final Recorder mRecord;
    private final Work mWork;
    private final ServerSocket mServer;
    private final long mBorn = System.currentTimeMillis();
    private final AtomicLong mSeq = new AtomicLong();
    private final AtomicLong mRunning = new AtomicLong();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Map<String, Ticket> mTickets = new LinkedHashMap<>();
    private volatile String mState = "ready";
    private volatile boolean mRegistered = true;
    private volatile boolean mEnded;

    /** Time for which the runner answers neither orders nor requests, as one that is silent for a while. */
    volatile long silentUntilNanos = System.nanoTime();

    Runner(String id, String service, int slots, Store store, Recorder record, Work work) throws IOException {
        this.id = id;
        this.service = service;
        mSlots = slots;
        mStore = store;
        mRecord = record;
        mWork = work;
        mServer = new ServerSocket();
        mServer.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        ALL.put(address(), this);
        thread(this::accept);
        thread(this::beat);
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Reports that the runner leaves; returns when the store has accepted that. */
    void drain() {
        mState = "draining";
        register();
    }

    /** The process ends: open channels are reset. */
    void exit() {
        mEnded = true;
        mRegistered = false;
        mStore.remove("servers/" + id);
        try {
            mServer.close();
            for (Socket socket : mSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            // It was closed already.
        }
    }

    boolean hasEnded() {
        return mEnded;
    }

    private synchronized void register() {
        if (mRegistered) {
            mStore.put("servers/" + id, "{\"Service\":\"" + service + "\",\"Address\":\"" + address()
                    + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":" + mSlots + ",\"State\":\"" + mState
                    + "\",\"ColdLeftMs\":0,\"Stage\":\"both\",\"Seq\":" + mSeq.incrementAndGet() + ",\"born\":" + mBorn + "}");
        }
    }

    private void beat() {
        while (!mEnded) {
            register();
            sleep(1200);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!mEnded) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                thread(() -> serve(socket));
            } catch (IOException e) {
                // The runner has ended.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                awaitVoice();
                byte[] body = Http.readRequestBody(in, head);
                if (head.target().startsWith("/-/")) {
                    administer(head, new String(body, StandardCharsets.UTF_8), socket.getOutputStream());
                } else {
                    request(head, body, socket);
                }
                if (head.closes()) {
                    return;
                }
            }
        } catch (IOException e) {
            // The gateway has left, or the runner has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(socket);
        }
    }

    private void awaitVoice() {
        long left = (silentUntilNanos - System.nanoTime()) / 1_000_000;
        if (left > 0) {
            sleep(left);
        }
    }

    private void administer(Http.Head head, String body, OutputStream out) throws IOException {
        boolean report = head.target().startsWith("/-/report");
        String[] answer = report ? new String[] {"200 OK", report()} : order(Json.object(body));
        mRecord.line("runner %s: %s %s: %s", id, head.target(), body, answer[0]);
        send(out, answer[0], "Content-Type: application/json\r\n", answer[1].getBytes(StandardCharsets.UTF_8));
    }

    private String report() {
        synchronized (mTickets) {
            expireTickets();
            StringBuilder tickets = new StringBuilder();
            mTickets.forEach((ticket, held) -> tickets.append(tickets.length() == 0 ? "" : ",").append("{\"Id\":").append(Json.quote(ticket))
                    .append(",\"Tokens\":").append(held.mTokens).append(",\"State\":\"").append(held.mUsed ? "used" : "held")
                    .append("\",\"AgeMs\":").append((System.nanoTime() - held.mSince) / 1_000_000).append('}'));
            return "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,\"Seq\":0,\"Queued\":0,"
                    + "\"Running\":" + mRunning.get() + ",\"KvUsed\":" + (MEMORY_TOKENS - freeTokens()) + ",\"KvTotal\":" + MEMORY_TOKENS
                    + ",\"Handles\":0,\"pace\":1.0,\"Tickets\":[" + tickets + "],\"born\":" + mBorn + "}";
        }
    }

    private String[] order(Map<String, Object> order) {
        synchronized (mTickets) {
            expireTickets();
            String ticket = String.valueOf(order.get("Id"));
            String status = "400 Bad Request";
            if ("release".equals(order.get("Op"))) {
                mTickets.remove(ticket);
                status = "200 OK";
            } else if ("reserve".equals(order.get("Op"))) {
                Ticket held = mTickets.get(ticket);
                long tokens = (Long) order.get("Tokens");
                if (held == null && freeTokens() < tokens) {
                    status = tokens > MEMORY_TOKENS ? "400 Bad Request" : "409 Conflict";
                } else {
                    if (held == null) {
                        held = new Ticket();
                        held.mSince = System.nanoTime();
                        mTickets.put(ticket, held);
                    }
                    held.mTokens = tokens;
                    held.mUntil = System.nanoTime() + Math.min(MAX_HOLD_MS, (Long) order.get("HoldMs")) * 1_000_000;
                    status = "200 OK";
                }
            }
            return new String[] {status, "{\"Free\":" + freeTokens() + ",\"born\":" + mBorn + "}"};
        }
    }

    private long freeTokens() {
        return MEMORY_TOKENS - mTickets.values().stream().mapToLong(held -> held.mTokens).sum();
    }

    private void expireTickets() {
        mTickets.values().removeIf(held -> System.nanoTime() > held.mUntil);
    }

    /** Uses the tickets of the header, or ends their use; false if a helper is gone, is leaving or lacks the ticket. */
    static boolean useTickets(String helpers, boolean used) {
        boolean all = true;
        for (String entry : helpers == null ? List.<String>of() : List.of(helpers.split(","))) {
            String[] parts = entry.split("/", 2);
            Runner helper = ALL.get(parts[0]);
            if (helper == null || helper.hasEnded() || !helper.mState.equals("ready")) {
                all = false;
            } else if (parts.length > 1) {
                synchronized (helper.mTickets) {
                    helper.expireTickets();
                    Ticket held = helper.mTickets.get(parts[1]);
                    all &= held != null;
                    if (held != null) {
                        held.mUsed = used;
                    }
                }
            }
        }
        return all;
    }

    private void request(Http.Head head, byte[] body, Socket socket) throws IOException, InterruptedException {
        String expected = head.get("Tanagergap-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            mRecord.line("runner %s: 421 for request %s", id, head.get("Tanagergap-Request-Id"));
            send(socket.getOutputStream(), "421 Misdirected Request", "Tanagergap-Runner-Id: " + id
                    + "\r\nTanagergap-Request-Id: " + head.get("Tanagergap-Request-Id") + "\r\n", new byte[0]);
            return;
        }
        mRunning.incrementAndGet();
        try {
            mWork.run(this, head, body, socket);
        } finally {
            mRunning.decrementAndGet();
        }
    }

    /** Answers with the headers that every answer of a runner has. */
    static void answer(Runner runner, Http.Head head, OutputStream out, byte[] body) throws IOException {
        send(out, "200 OK", stamp(runner, head), body);
    }

    static String stamp(Runner runner, Http.Head head) {
        return "Tanagergap-Request-Id: " + head.get("Tanagergap-Request-Id") + "\r\nTanagergap-Response-Stamp: "
                + runner.id + "." + head.get("Tanagergap-Request-Id") + "\r\nTanagergap-Runner-Id: " + runner.id + "\r\n";
    }

    static void send(OutputStream out, String status, String headers, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }
}
