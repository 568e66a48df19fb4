import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A client with one connection, which it keeps as long as the system allows it. */
final class Client implements Closeable {
    private final Fleet fleet;
    final Fleet.Machine gateway;
    Socket socket;
    private InputStream in;

    Client(Fleet fleet, Fleet.Machine gateway) {
        this.fleet = fleet;
        this.gateway = gateway;
    }

    /** Sends one request and reads its answer, for at most timeoutMs between two pieces of it. */
    Net.Response send(String method, String path, List<String> headers, byte[] body, int timeoutMs) {
        String id = Net.header(headers, "X-Request-Id");
        fleet.record("send " + id + " " + method + " " + path + " bytes=" + body.length + " to " + gateway.name
            + previous(headers));
        Net.Response response;
        try {
            if (socket == null) connect();
            socket.setSoTimeout(timeoutMs);
            List<String> all = new ArrayList<>(List.of("Host: " + Fleet.HOST));
            all.addAll(headers);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(Net.head(method + " " + path + " HTTP/1.1", all, "Content-Length: " + body.length));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            response = Net.readResponse(in);
        } catch (IOException e) {
            response = new Net.Response(0, List.of(), new byte[0], false, "failed: " + e.getMessage());
        }
        fleet.record("answer " + id + " status=" + response.status() + " bytes=" + response.body().length + " " + response.end());
        boolean closes = "close".equalsIgnoreCase(response.header("Connection"));
        if (!response.complete() || closes) close();
        return response;
    }

    private static String previous(List<String> headers) {
        String previous = Net.header(headers, "X-Previous-Turn");
        return previous == null ? "" : " previous=" + previous;
    }

    void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(gateway.ip, Fleet.FRONT), 1000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // It was closed already.
        }
        socket = null;
    }
}
