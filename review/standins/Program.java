import java.nio.charset.StandardCharsets;
import java.util.*;

/** An agent program: a chain of turns, each of which continues the last one that was answered whole. */
final class Program {
    private static final int TOKENS_PER_EVENT = 14;
    private static final long FINISH_MS = 110_000;
    final Fleet fleet;
    final String name;
    final long budget;
    /** The last turn that was answered whole, and the prompt that its successor's new input follows. */
    String last;
    String chain = "";
    /** The turns sent since then. */
    int triesSince = 0;
    /** The tokens that reached the client, also of turns that broke off. */
    volatile long tokens = 0;
    private int line = 0;
    private volatile String lastId = "";
    final List<String> idsSince = new ArrayList<>();
    final List<Integer> statuses = new ArrayList<>();
    private final long finishMs;

    Program(Fleet fleet, long budget) {
        this.fleet = fleet;
        this.name = "p" + fleet.newId();
        this.budget = budget;
        this.finishMs = fleet.nowMs() + FINISH_MS;
    }

    /** Sends a turn at the start of a new line, such as a sub-agent's. */
    void startLine(Fleet.Machine gateway) {
        last = null;
        chain = "";
        line++;
        turn(gateway, "a new line of " + name + ";");
    }

    /** The engine that ran the last turn of this program; empty if none did. */
    String lastEngine() {
        for (Worker engine : fleet.engines) for (Worker.Run run : new ArrayList<>(engine.runs)) if (run.id().equals(lastId)) return engine.id;
        return "";
    }

    /** Sends one turn with the input at the gateway. Returns whether it was answered whole. */
    boolean turn(Fleet.Machine gateway, String input) {
        String id = fleet.newId();
        List<String> headers = new ArrayList<>(List.of("X-Request-Id: " + id, "X-Model: m", "X-Program-Id: " + name, "X-Session-Id: " + name + "-" + line,
            "X-Finish-Ms: " + Math.max(100, finishMs - fleet.nowMs()), "X-Token-Budget: " + budget, "X-Token-Counts: 600,70", "X-Prompt-Prefix: 5c1e07a2:512,91bd3f06:88",
            "X-Deadline-Ms: 3000"));
        if (last != null) headers.add("X-Previous-Turn: " + last);
        lastId = id;
        fleet.expected.put(id, chain + input);
        Net.Response response;
        try (Client client = new Client(fleet, gateway)) {
            response = client.send("POST", Fleet.TURNS + "t", headers, input.getBytes(StandardCharsets.ISO_8859_1), 3500);
        }
        if (response.status() == 200) tokens += (long) data(response.body()).size() * TOKENS_PER_EVENT;
        triesSince++;
        idsSince.add(id);
        statuses.add(response.status());
        boolean isWhole = response.status() == 200 && response.complete();
        if (isWhole) {
            StringBuilder next = new StringBuilder(chain).append(input);
            for (String data : data(response.body())) next.append(data).append('\n');
            chain = next.toString();
            last = id;
            triesSince = 0;
            idsSince.clear();
        }
        return isWhole;
    }

    /** An input with a photo in base64, which does not compress below three quarters of its size. */
    static String photo(int bytes) {
        byte[] image = new byte[bytes / 4 * 3];
        new Random(39).nextBytes(image);
        return "{\"photo\":\"" + Base64.getEncoder().encodeToString(image) + "\"}";
    }

    /** The data of the events of a stream. */
    static List<String> data(byte[] body) {
        List<String> data = new ArrayList<>();
        for (String event : new String(body, StandardCharsets.ISO_8859_1).split("\n\n")) {
            for (String line : event.split("\n")) if (line.startsWith("data: ")) data.add(line.substring(6));
        }
        return data;
    }
}
