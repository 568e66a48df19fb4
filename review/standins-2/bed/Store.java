package bed;

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
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** A stand-in of the platform's metadata store, with one address for each daemon. It loses nothing and is linearizable. */
final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(long revision, String key, Item item) {}

    private static final int PAGE_BYTES = 1_000_000;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Set<String> closedTo = ConcurrentHashMap.newKeySet();
    private long revision = 100;
    private long nextLease = 1;

    /** Whether the store answers nobody but the operator. */
    volatile boolean isDown;

    /** Called with the key of each write, after it was applied. */
    volatile Consumer<String> onWrite = key -> {};

    /** The time that each answer takes, in milliseconds. */
    volatile long delay = 4;

    Store() {
        Thread expiry = new Thread(this::expire);
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Serves the daemon that is named [name] at [address]. */
    void serve(String name, InetSocketAddress address) throws IOException {
        HttpServer server = HttpServer.create(address, 100);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> handle(name, exchange));
        server.start();
        servers.add(server);
    }

    /** Cuts the daemon that is named [name] off from the store, or lets it in again. Its calls get no answer meanwhile. */
    void close(String name, boolean isClosed) {
        if (isClosed) closedTo.add(name); else closedTo.remove(name);
    }

    void stop() {
        servers.forEach(it -> it.stop(0));
    }

    private boolean isSilent(String name) {
        return isDown || closedTo.contains(name);
    }

    private void handle(String name, HttpExchange exchange) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String path = exchange.getRequestURI().getPath();
            Thread.sleep(delay);
            // A call that comes while the store is silent is never executed, and its connection returns nothing further.
            if (isSilent(name)) {
                while (isSilent(name)) Thread.sleep(50);
                exchange.close();
                return;
            }
            int[] status = {200};
            String reply =
                switch (path) {
                    case "/api/kv-key" -> get(query.get("key"), status);
                    case "/api/kv-range" -> range(query.get("prefix"), query.get("after"));
                    case "/api/kv-watch" -> watch(name, query, status);
                    case "/api/kv-txn" -> write(Json.object(body), status);
                    case "/api/kv-lease" -> lease(Json.object(body));
                    default -> {
                        status[0] = 404;
                        yield "{}";
                    }
                };
            if (isSilent(name)) {
                while (isSilent(name)) Thread.sleep(50);
                exchange.close();
                return;
            }
            byte[] bytes = reply.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status[0], bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private static String json(Item item) {
        return "{\"key\":" + Json.quote(item.key) + ",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
            + ",\"created\":" + item.created + ",\"lease\":" + item.lease + "}";
    }

    private synchronized String get(String key, int[] status) {
        Item item = items.get(key);
        if (item == null) {
            status[0] = 404;
            return "{\"at\":" + revision + "}";
        }
        String text = json(item);
        return text.substring(0, text.length() - 1) + ",\"at\":" + revision + "}";
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        boolean hasMore = false;
        int bytes = 0;
        for (Item item : items.tailMap(after == null ? prefix : after, after == null).values()) {
            if (!item.key.startsWith(prefix)) {
                if (item.key.compareTo(prefix) > 0) break;
                continue;
            }
            // A page has at most about 500 items or 1 MB, and one item at least.
            if (found.size() == 500 || bytes > 0 && bytes + item.value.length() > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            found.add(json(item));
            bytes += item.value.length();
        }
        return "{\"items\":[" + String.join(",", found) + "],\"has_more\":" + hasMore + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(String name, Map<String, String> query, int[] status) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
                Change change = history.get(i);
                if (!change.key.startsWith(prefix)) continue;
                events.add(0, change.item != null ? json(change.item)
                    : "{\"key\":" + Json.quote(change.key) + ",\"revision\":" + change.revision + ",\"tombstone\":true}");
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0 || isSilent(name)) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            wait(Math.min(left, 200));
        }
    }

    @SuppressWarnings("unchecked")
    private String write(Map<String, Object> call, int[] status) {
        List<String> keys = new ArrayList<>();
        String reply;
        synchronized (this) {
            List<Map<String, Object>> expected = list(call.get("expected_revision"));
            List<String> current = new ArrayList<>();
            boolean holds = true;
            for (Map<String, Object> row : expected) {
                Item item = items.get((String) row.get("key"));
                long wanted = ((Double) row.get("revision")).longValue();
                if ((item == null ? 0 : item.revision) != wanted) holds = false;
                if (item != null) current.add(json(item));
            }
            if (!holds) {
                status[0] = 412;
                return "{\"items\":[" + String.join(",", current) + "]}";
            }
            List<Map<String, Object>> puts = list(call.get("puts"));
            for (Map<String, Object> put : puts) {
                Double lease = (Double) put.get("lease");
                if (lease != null && lease != 0 && !leases.containsKey(lease.longValue())) {
                    status[0] = 404;
                    return "{}";
                }
            }
            revision++;
            for (Map<String, Object> put : puts) {
                Double lease = (Double) put.get("lease");
                set((String) put.get("key"), (String) put.get("value"), lease == null ? 0 : lease.longValue());
                keys.add((String) put.get("key"));
            }
            List<Object> removed = (List<Object>) call.get("remove");
            if (removed != null) removed.forEach(key -> remove((String) key));
            notifyAll();
            reply = "{\"revision\":" + revision + "}";
        }
        keys.forEach(onWrite);
        return reply;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Object value) {
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        history.add(new Change(revision, key, item));
    }

    private void remove(String key) {
        if (items.remove(key) != null) history.add(new Change(revision, key, null));
    }

    private synchronized String lease(Map<String, Object> call) {
        long ttl = Math.max(1000, Math.min(600_000, ((Double) call.get("ttl_ms")).longValue()));
        leases.put(nextLease, System.nanoTime() + ttl * 1_000_000);
        return "{\"lease\":" + nextLease++ + ",\"ttl_ms\":" + ttl + "}";
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = leases.entrySet().stream().filter(it -> it.getValue() < now).map(Map.Entry::getKey).toList();
                end(ended);
            }
        }
    }

    private void end(List<Long> ended) {
        if (ended.isEmpty()) return;
        ended.forEach(leases::remove);
        List<String> keys = items.values().stream().filter(it -> ended.contains(it.lease)).map(it -> it.key).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    /** Ends all leases, as the pages allow while the store is down. Returns how many keys were removed by that. */
    synchronized long endAllLeases() {
        long keys = items.values().stream().filter(it -> it.lease != 0).count();
        end(new ArrayList<>(leases.keySet()));
        return keys;
    }

    /** Writes [value] at [key] as the operator or a worker does. A null value removes the key. */
    synchronized void put(String key, String value) {
        revision++;
        if (value == null) remove(key);
        else set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(it -> it.startsWith(prefix)).toList();
    }

    /** The size of the values at all keys that begin with [prefix]. */
    synchronized long bytes(String prefix) {
        return items.tailMap(prefix).values().stream().takeWhile(it -> it.key.startsWith(prefix)).mapToLong(it -> it.value.length() / 4L * 3).sum();
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }
}
