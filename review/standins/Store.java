import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store as PROTOCOL.md describes it, with a history of `HistoryS` 20. */
final class Store {

    private static final int PAGE_ITEMS = 500;
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private record Item(String key, byte[] value, long revision, long created, long lease) {

        String json() {
            String head = "{\"Key\":" + Json.quote(key) + ",\"Revision\":" + revision;
            if (value == null) {
                return head + ",\"Deleted\":true}";
            }
            return head + ",\"Value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"Created\":"
                    + created + ",\"Lease\":" + lease + "}";
        }
    }

    private final HttpServer mServer;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mEvents = new ArrayList<>();
    private final List<Long> mEventNanos = new ArrayList<>();
    private final Map<Long, long[]> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mDiscarded = 100;
    private long mLastLease;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        mServer.setExecutor(Executors.newCachedThreadPool(daemon -> {
            Thread thread = new Thread(daemon);
            thread.setDaemon(true);
            return thread;
        }));
        mServer.createContext("/", this::serve);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private long put(String key, byte[] value, long lease) {
        Item old = mItems.get(key);
        long revision = ++mRevision;
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        mItems.put(key, item);
        happened(item);
        return revision;
    }

    synchronized void remove(String key) {
        if (mItems.remove(key) != null) {
            happened(new Item(key, null, ++mRevision, 0, 0));
        }
    }

    private void happened(Item item) {
        mEvents.add(item);
        mEventNanos.add(System.nanoTime());
        while (System.nanoTime() - mEventNanos.get(0) > HISTORY_NANOS) {
            mEventNanos.remove(0);
            mDiscarded = mEvents.remove(0).revision();
        }
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String path = exchange.getRequestURI().getPath();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            Object[] reply = reply(path, query, body);
            byte[] bytes = ((String) reply[1]).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((Integer) reply[0], bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
        } catch (IOException e) {
            // The caller has left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized Object[] reply(String path, Map<String, String> query, String body)
            throws InterruptedException {
        expireLeases();
        if (path.equals("/-/kv-key")) {
            Item item = mItems.get(query.get("Key"));
            String json = item == null ? "{" : item.json().replaceFirst("}$", ",");
            return new Object[] {item == null ? 404 : 200, json + "\"StoreRevision\":" + mRevision + "}"};
        }
        if (path.equals("/-/kv-range")) {
            return new Object[] {200, range(query.getOrDefault("Prefix", ""), query.getOrDefault("After", ""))};
        }
        if (path.equals("/-/kv-watch")) {
            return watch(query);
        }
        if (path.equals("/-/kv-txn")) {
            return transaction(Json.object(body));
        }
        if (path.equals("/-/kv-lease")) {
            long ttl = (Long) Json.object(body).get("TtlMs");
            mLeases.put(++mLastLease, new long[] {ttl, System.nanoTime()});
            return new Object[] {200, "{\"Lease\":" + mLastLease + ",\"TtlMs\":" + ttl + "}"};
        }
        if (path.startsWith("/-/kv-keep/") || path.startsWith("/-/kv-lease-end/")) {
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            long[] lease = mLeases.get(id);
            if (lease == null) {
                return new Object[] {404, ""};
            }
            lease[1] = path.startsWith("/-/kv-keep/") ? System.nanoTime() : 0;
            return new Object[] {200, "{\"TtlMs\":" + lease[0] + "}"};
        }
        return new Object[] {404, ""};
    }

    private void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        mLeases.forEach((id, lease) -> {
            if (now - lease[1] > lease[0] * 1_000_000) {
                ended.add(id);
            }
        });
        for (long id : ended) {
            mLeases.remove(id);
            for (Item item : List.copyOf(mItems.values())) {
                if (item.lease() == id) {
                    remove(item.key());
                }
            }
        }
    }

    private String range(String prefix, String after) {
        List<String> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Item item : mItems.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) <= 0 && !after.isEmpty()) {
                continue;
            }
            if (items.size() >= PAGE_ITEMS || bytes >= 1_000_000) {
                more = true;
                break;
            }
            items.add(item.json());
            bytes += item.value().length;
        }
        return "{\"Items\":[" + String.join(",", items) + "],\"HasMore\":" + more + ",\"StoreRevision\":"
                + mRevision + "}";
    }

    private Object[] watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("Prefix", "");
        long after = Long.parseLong(query.get("After"));
        long end = System.nanoTime() + Math.min(30_000, Long.parseLong(query.getOrDefault("WaitMs", "0"))) * 1_000_000;
        if (after < mDiscarded) {
            return new Object[] {410, ""};
        }
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item item : mEvents) {
                if (item.revision() > after && item.key().startsWith(prefix)) {
                    events.add(item.json());
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Object[] {200, "{\"events\":[" + String.join(",", events) + "],\"StoreRevision\":" + mRevision + "}"};
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Object[] transaction(Map<String, Object> body) {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) body.getOrDefault("Expected", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = mItems.get((String) expected.get("Key"));
            holds &= (item == null ? 0 : item.revision()) == (Long) expected.get("Revision");
            if (item != null) {
                current.add(item.json());
            }
        }
        if (!holds) {
            return new Object[] {412, "{\"Items\":[" + String.join(",", current) + "]}"};
        }
        for (Object row : (List<Object>) body.getOrDefault("SetKeys", List.of())) {
            Map<String, Object> set = (Map<String, Object>) row;
            Object lease = set.getOrDefault("Lease", 0L);
            if ((Long) lease != 0 && !mLeases.containsKey((Long) lease)) {
                return new Object[] {404, ""};
            }
        }
        for (Object row : (List<Object>) body.getOrDefault("SetKeys", List.of())) {
            Map<String, Object> set = (Map<String, Object>) row;
            put((String) set.get("Key"), Base64.getDecoder().decode((String) set.get("Value")), (Long) set.getOrDefault("Lease", 0L));
        }
        for (Object key : (List<Object>) body.getOrDefault("Remove", List.of())) {
            remove((String) key);
        }
        return new Object[] {200, "{\"Revision\":" + mRevision + "}"};
    }
}
