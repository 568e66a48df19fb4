import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A worker: an engine that streams events, or a plain service. It registers itself in the store. */
class Worker {
    /** One request that this worker began to work on. */
    record Run(String worker, String id, String path, String body, List<String> headers, long atMs) { }

    final String id;
    final String service;
    final String ip;
    final int port;
    final boolean isEngine;
    final int slots;
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    final AtomicInteger busy = new AtomicInteger();
    volatile int events = 5;
    volatile long workMs = 60;
    private final Fleet fleet;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Worker(Fleet fleet, String id, String service, String ip, int port, boolean isEngine, int slots) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.port = port;
        this.isEngine = isEngine;
        this.slots = slots;
        ServerSocket listener = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Net.daemon(() -> {
            while (true) {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                sockets.add(s);
                Net.daemon(() -> serve(s));
            }
        });
        register("ready");
    }

    void register(String state) {
        fleet.store.write("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + Fleet.ZONE
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":"
            + "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,\"born\":" + fleet.bornMs + "}");
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Net.Request request = Net.readRequest(in);
                if (request == null) return;
                if (!exchange(socket, request)) return;
            }
        } catch (IOException e) {
            // The caller left.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Serves one request. Returns whether the connection stays open. */
    boolean exchange(Socket socket, Net.Request request) throws Exception {
        String name = request.header("X-Request-Id");
        String expected = request.header("X-Expect-Instance");
        if (request.target().equals("/health")) return refuse(socket, name, 200);
        if (name == null) return refuse(socket, name, 400);
        if (expected != null && !expected.equals(id)) return refuse(socket, name, 421);
        if (busy.get() >= slots) return refuse(socket, name, 503);
        busy.incrementAndGet();
        try {
            Run run = new Run(id, name, request.target(), new String(request.body(), StandardCharsets.ISO_8859_1), request.headers(), fleet.nowMs());
            runs.add(run);
            fleet.record("run " + id + " request=" + name + " bytes=" + request.body().length);
            return answer(socket, request, run);
        } finally {
            busy.decrementAndGet();
        }
    }

    /** Writes the answer. Returns whether the connection stays open. */
    boolean answer(Socket socket, Net.Request request, Run run) throws Exception {
        OutputStream out = socket.getOutputStream();
        List<String> headers = List.of("X-Request-Id: " + run.id(), "X-Server-Stamp: " + id + "." + run.id(), "X-Weight-Versions: 1",
            "Content-Type: " + (isEngine ? "text/event-stream" : "text/plain"));
        if (!isEngine) {
            Thread.sleep(workMs);
            Net.respond(socket, 200, headers, ("done " + run.id()).getBytes(StandardCharsets.UTF_8));
            return true;
        }
        out.write(Net.head("HTTP/1.1 200 OK", headers, "Transfer-Encoding: chunked"));
        for (int n = 1; n <= events; n++) {
            Thread.sleep(workMs / events);
            String event = "id: " + n + "\ndata: " + Fleet.output(run.id(), n) + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }

    boolean refuse(Socket socket, String name, int status) throws IOException {
        List<String> headers = new ArrayList<>(List.of("X-Instance-Id: " + id));
        if (name != null) headers.add("X-Request-Id: " + name);
        if (status != 200) headers.add("X-Not-Run: 1");
        Net.respond(socket, status, headers, new byte[0]);
        return true;
    }
}
