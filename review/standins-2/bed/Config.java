package bed;

import java.util.ArrayList;
import java.util.List;

/** Builds configurations as the operator writes them. */
final class Config {
    static final String TURNS = "/pufi791/";
    static final String READS = "/pule252/";
    static final String ORDERS = "/puxa403/";

    /** What the routes of turns have besides: the system keeps what was said. */
    static final String HISTORY = ",\"retains_history\":true,\"retention_s\":60.0,\"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":150";

    private final int version;
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private String limits = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

    Config(int version) {
        this.version = version;
    }

    /** Turns at the engines, and calls that may and may not be repeated at the plain service. */
    static Config standard(int version) {
        return new Config(version)
            .route("r-turns", TURNS, "streaming", 3000, "\"service\":\"" + Bed.ENGINES + "\"", HISTORY)
            .route("r-reads", READS, "idempotent", 1500, "\"service\":\"" + Bed.SERVICE + "\"", "")
            .route("r-orders", ORDERS, "non_idempotent", 6000, "\"service\":\"" + Bed.SERVICE + "\"", "")
            .engineService(Bed.ENGINES)
            .plainService(Bed.SERVICE);
    }

    Config route(String name, String prefix, String kind, int timeout, String target, String more) {
        routes.removeIf(it -> it.contains("\"" + name + "\""));
        routes.add("{\"name\":\"" + name + "\",\"host\":\"" + Bed.HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":250,\"priority\":1," + target + ",\"max_attempts\":2" + more + "}");
        return this;
    }

    Config engineService(String name) {
        services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"connection_limit\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,\"kv_cache_tokens\":97383,\"kv_token_bytes\":18432,\"link_mbps\":130000.0,\"moves\":true,\"backups\":true,\"stride_tokens\":14,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}");
        return this;
    }

    Config plainService(String name) {
        services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false}");
        return this;
    }

    Config idleTimeout(int millis) {
        limits = limits.replace("\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":" + millis);
        return this;
    }

    String json() {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services) + "],\"limits\":" + limits + "}";
    }
}
