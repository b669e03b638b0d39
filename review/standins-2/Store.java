import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as far as gateways call it. */
final class Store {
    private final ServerSocket mServer;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mHistory = new ArrayList<>();
    private long mRevision = 1;
    private long mLeases = 1;

    private record Item(String key, String value, long revision, long lease, boolean deleted) {
        String json() {
            return "{\"Key\":" + Json.quoted(key) + ",\"Revision\":" + revision
                    + (deleted
                            ? ",\"Deleted\":true}"
                            : ",\"Value\":\"" + value + "\",\"Created\":" + revision + ",\"Lease\":"
                                    + lease + "}");
        }
    }

    Store() throws IOException {
        mServer = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        start("store", this::accept);
    }

    static Thread start(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return mServer.getLocalPort();
    }

    synchronized long put(String key, String value) {
        return set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private long set(String key, String value, long lease) {
        Item item = new Item(key, value, ++mRevision, lease, false);
        mItems.put(key, item);
        mHistory.add(item);
        return mRevision;
    }

    synchronized long delete(String key) {
        mItems.remove(key);
        mHistory.add(new Item(key, "", ++mRevision, 0, true));
        return mRevision;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mServer.accept();
                start("store call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            Channel channel = new Channel(socket);
            for (Channel.Head head = channel.readHead(); head != null; head = channel.readHead()) {
                String body = new String(channel.readBody(head), StandardCharsets.UTF_8);
                answer(channel, head, body);
                if ("close".equalsIgnoreCase(head.field("connection"))) {
                    break;
                }
            }
            channel.close();
        } catch (IOException e) {
            // The gateway has left.
        }
    }

    private void answer(Channel channel, Channel.Head head, String body) throws IOException {
        String[] target = head.path().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String answer;
        int status = 200;
        synchronized (this) {
            if (target[0].equals("/-/kv-range")) {
                answer = range(query);
            } else if (target[0].equals("/-/kv-watch")) {
                answer = watch(query);
            } else if (target[0].equals("/-/kv-lease")) {
                long millis = ((Double) Json.object(body).get("TtlMs")).longValue();
                answer = "{\"Lease\":" + ++mLeases + ",\"TtlMs\":" + millis + "}";
            } else if (target[0].startsWith("/-/kv-keep/")) {
                answer = "{\"TtlMs\":8000}";
            } else if (target[0].equals("/-/kv-txn")) {
                answer = transaction(Json.object(body));
                if (answer.isEmpty()) {
                    status = 412;
                    answer = "{\"Items\":[]}";
                }
            } else {
                status = 404;
                answer = "{}";
            }
        }
        channel.answer(status, "Content-Type: application/json\r\n", answer);
    }

    private String range(Map<String, String> query) {
        List<String> items = new ArrayList<>();
        String prefix = query.getOrDefault("Prefix", "");
        String after = query.getOrDefault("After", "");
        for (Item item : mItems.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                items.add(item.json());
            }
        }
        return "{\"Items\":[" + String.join(",", items) + "],\"HasMore\":false,\"StoreRevision\":"
                + mRevision + "}";
    }

    private String watch(Map<String, String> query) {
        long after = Long.parseLong(query.getOrDefault("After", "0"));
        String prefix = query.getOrDefault("Prefix", "");
        List<String> events = new ArrayList<>();
        for (Item item : mHistory) {
            if (item.revision() > after && item.key().startsWith(prefix)) {
                events.add(item.json());
            }
        }
        return "{\"events\":[" + String.join(",", events) + "],\"StoreRevision\":" + mRevision + "}";
    }

    @SuppressWarnings("unchecked")
    private String transaction(Map<String, Object> call) {
        for (Object row : (List<Object>) call.get("Expected")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = mItems.get((String) expected.get("Key"));
            long revision = item == null ? 0 : item.revision();
            if (revision != ((Double) expected.get("Revision")).longValue()) {
                return "";
            }
        }
        for (Object row : (List<Object>) call.get("SetKeys")) {
            Map<String, Object> write = (Map<String, Object>) row;
            set(
                    (String) write.get("Key"),
                    (String) write.get("Value"),
                    ((Double) write.get("Lease")).longValue());
        }
        for (Object key : (List<Object>) call.get("Remove")) {
            delete((String) key);
        }
        return "{\"Revision\":" + mRevision + "}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
