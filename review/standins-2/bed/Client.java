package bed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client. Each call has a connection of its own unless [connection] is used again. */
final class Client {
    private static final AtomicLong NEXT = new AtomicLong();
    private static final String RUN = Long.toHexString(System.nanoTime());

    /** What a client has got: status 0 if the connection ended without a complete answer. */
    record Answer(String id, int status, byte[] body, Map<String, String> headers, String failure, long sentAt, long endedAt) {
        /** The data of the events, each followed by a line feed. */
        String said() {
            StringBuilder said = new StringBuilder();
            for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
                if (line.startsWith("data: ")) said.append(line.substring(6)).append('\n');
            }
            return said.toString();
        }

        boolean isOk() {
            return status == 200;
        }
    }

    private Client() {}

    static String newId() {
        return "q" + RUN + "x" + NEXT.incrementAndGet();
    }

    static Map<String, String> turnHeaders(String program, String previous, long budget, int most) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Program-Id", program);
        headers.put("X-Session-Id", program);
        headers.put("X-Finish-Ms", "20000");
        headers.put("X-Token-Budget", Long.toString(budget));
        headers.put("X-Token-Counts", "100," + most);
        if (previous != null) headers.put("X-Previous-Turn", previous);
        return headers;
    }

    /** Sends one request on a new connection and reads its answer. */
    static Answer send(Bed bed, Daemon gateway, String method, String path, Map<String, String> headers, byte[] body, int deadline) {
        String id = newId();
        long sentAt = bed.now();
        bed.record("sent", "to", gateway.name, "request", id, "path", path, "program", headers.get("X-Program-Id"), "previous", headers.get("X-Previous-Turn"), "body", Bed.digest(body));
        Answer answer;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(gateway.callers(), 1000);
            socket.setSoTimeout(deadline + 1000);
            // A client that can't even send its request gives up, too.
            bed.start(() -> closeAfter(socket, deadline + 1200));
            answer = exchange(bed, socket, id, method, path, headers, body, deadline, sentAt);
        } catch (IOException e) {
            answer = new Answer(id, 0, new byte[0], Map.of(), e.toString(), sentAt, bed.now());
        }
        bed.record("answered", "request", id, "status", answer.status, "failure", answer.failure, "body", Bed.digest(answer.body));
        return answer;
    }

    private static void closeAfter(Socket socket, long millis) {
        try {
            Thread.sleep(millis);
            socket.close();
        } catch (IOException | InterruptedException e) {
            // The call has ended.
        }
    }

    /** Sends one request on [socket], which stays open, and reads its answer. */
    static Answer exchange(Bed bed, Socket socket, String id, String method, String path, Map<String, String> headers, byte[] body, int deadline, long sentAt) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Bed.HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + deadline + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        OutputStream out = socket.getOutputStream();
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (!method.equals("GET")) out.write(body);
        out.flush();
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        Http.Head answer = Http.readHead(in);
        if (answer == null) return new Answer(id, 0, new byte[0], Map.of(), "closed without an answer", sentAt, bed.now());
        byte[] answerBody = Http.readBody(in, answer, true);
        int status = Integer.parseInt(answer.line().split(" ")[1]);
        return new Answer(id, status, answerBody, answer.headers(), null, sentAt, bed.now());
    }
}
