import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/** A small deployment on loopback: the project's daemons as processes, a store, workers and clients. */
final class Fleet {
    static final String ZONE = "svea-a";
    static final String HOST = "review.example";
    static final String TURNS = "/turns/";
    static final String CALLS = "/calls/";
    static final String ONCE = "/once/";
    static final int FRONT = 8149;
    static final int READY = 8141;
    static final int ENGINE = 8145;
    static final int PLAIN = 8146;
    static final int RETENTION_S = 60;
    /** A script has 120 s. No new round begins after this time. */
    static final long LAST_ROUND_MS = 98_000;
    static final int MAX_BODY_BYTES = 4_194_304;

    /** Whether the disruption of the case is left out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** A machine with one daemon. */
    final class Machine {
        final String name;
        final String role;
        final String ip;
        final Store.Access store;
        final Path settings;
        final Path log;
        final Path data;
        volatile Process process;
        volatile boolean isHeld = false;
        volatile boolean isStopping = false;
        /** How often the daemon ended although the platform had not ended it. */
        final AtomicInteger ownEnds = new AtomicInteger();

        Machine(String role, int number, int host) throws IOException {
            this.role = role;
            name = role + number;
            ip = network + "." + host;
            store = Fleet.this.store.listen(ip);
            settings = folder.resolve(name + ".toml");
            log = folder.resolve(name + ".log");
            data = folder.resolve(name + "-data");
            if (role.equals("retainer")) Files.createDirectories(data);
        }

        synchronized void start() throws IOException {
            if (process != null && process.isAlive()) return;
            Files.writeString(settings, settingsOf(this));
            ProcessBuilder builder = new ProcessBuilder(commands.get(role)).directory(project.toFile()).redirectErrorStream(true);
            builder.environment().put("SYCAMOREGW_NODE_FILE", settings.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            isStopping = false;
            isHeld = false;
            Process started = builder.start();
            process = started;
            wasStarted = true;
            started.onExit().thenAccept(ended -> onExit(started, ended.exitValue()));
        }

        private void onExit(Process ended, int code) {
            if (isOver || process != ended) return;
            if (!isStopping) {
                ownEnds.incrementAndGet();
                record("the daemon " + name + " ended by itself with exit code " + code);
            }
            if (isHeld) return;
            daemonAfter(RESTART_MS, this::start);
        }

        void signal(String signal) throws Exception {
            record("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        /** Kills the process; it is started again after a short delay unless it is held. */
        void kill(boolean hold) {
            record("kill " + name);
            isStopping = true;
            isHeld = hold;
            process.destroyForcibly();
        }

        /** Asks the process to stop, and kills it after the grace period. It is started again after its end. */
        void terminate() {
            record("SIGTERM to " + name);
            isStopping = true;
            Process running = process;
            running.destroy();
            Net.daemon(() -> {
                if (!running.waitFor(8, TimeUnit.SECONDS)) running.destroyForcibly();
            });
        }

        /** Empties the data directory. */
        void wipe() throws IOException {
            try (var paths = Files.walk(data)) {
                paths.sorted(Comparator.reverseOrder()).filter(p -> !p.equals(data)).forEach(p -> p.toFile().delete());
            }
        }

        boolean isReady() {
            return !role.equals("gateway") || get(ip, READY, "/api/readiness") == 200;
        }
    }

    private static final long RESTART_MS = 500;
    final Path project = Path.of("").toAbsolutePath();
    final Path folder;
    final String network;
    final Store store = new Store();
    final long bornMs = System.currentTimeMillis();
    final List<Machine> gateways = new ArrayList<>();
    final List<Machine> homes = new ArrayList<>();
    final List<Machine> retainers = new ArrayList<>();
    final List<Worker> engines = new ArrayList<>();
    final List<Worker> plain = new ArrayList<>();
    /** The prompt that an engine is to receive for each turn. */
    final Map<String, String> expected = new ConcurrentHashMap<>();
    final AtomicInteger nextId = new AtomicInteger();
    volatile boolean isOver = false;
    private boolean wasStarted = false;
    private final long began = System.nanoTime();
    private final PrintWriter record;
    private final Map<String, List<String>> commands = new HashMap<>();
    private final String salt = Long.toHexString(System.nanoTime() & 0xffffff);
    private int nextHost = 2;
    int configVersion = 0;
    /** The longest time that the operator wants a call of the route ONCE kept waiting. */
    int onceTimeoutMs = 6000;

    Fleet(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        network = freeNetwork();
        readCommands();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
        Net.daemon(() -> {
            Thread.sleep(118_000);
            System.err.println("the case did not end within 118 s");
            Runtime.getRuntime().halt(2);
        });
        record("TROUBLE=" + (TROUBLE ? 1 : 0));
        if (System.getenv("KEEP") != null) System.out.println(folder);
    }

    long nowMs() {
        return (System.nanoTime() - began) / 1_000_000;
    }

    void record(String line) {
        synchronized (record) {
            record.println(String.format("%8.3f %s", nowMs() / 1000.0, line));
        }
    }

    String newId() {
        return "r" + salt + String.format("%05x", nextId.incrementAndGet());
    }

    /** What an engine generates as event n of a request. */
    static String output(String id, int n) {
        return "out-" + id + "-" + n;
    }

    Machine machine(String role) throws IOException {
        List<Machine> all = role.equals("gateway") ? gateways : role.equals("home") ? homes : retainers;
        Machine machine = new Machine(role, all.size() + 1, nextHost++);
        all.add(machine);
        return machine;
    }

    /** Adds homes with their engines, retainers, gateways and plain workers, which are not started yet. */
    void build(int homeCount, int retainerCount, int gatewayCount, int plainCount) throws IOException {
        configure();
        for (int n = 0; n < homeCount; n++) {
            Machine home = machine("home");
            engines.add(new Worker(this, "i-engine" + n, "engines", home.ip, ENGINE, true, 8));
        }
        for (int n = 0; n < retainerCount; n++) machine("retainer");
        for (int n = 0; n < gatewayCount; n++) machine("gateway");
        for (int n = 0; n < plainCount; n++) plain.add(new Worker(this, "i-plain" + n, "plain", network + "." + nextHost++, PLAIN, false, 6));
    }

    void start() throws Exception {
        for (List<Machine> all : List.of(retainers, homes, gateways)) for (Machine m : all) m.start();
        long end = nowMs() + 30_000;
        while (!gateways.stream().allMatch(Machine::isReady)) {
            if (nowMs() > end) unable("the gateways are not ready");
            Thread.sleep(50);
        }
        // Homes are registered once they serve.
        while (store.count("sycamore/homes/") < homes.size() && nowMs() < end) Thread.sleep(50);
        record("the deployment is ready");
    }

    void configure() {
        configVersion++;
        String turns = "{\"name\":\"turns\",\"host\":\"" + HOST + "\",\"prefix\":\"" + TURNS + "\",\"kind\":\"streaming\",\"timeout_ms\":3000,"
            + "\"target_latency_ms\":250,\"priority\":0,\"service\":\"engines\",\"max_attempts\":2,\"retains_history\":true,\"retention_s\":"
            + RETENTION_S + ".0,\"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":150}";
        String calls = "{\"name\":\"calls\",\"host\":\"" + HOST + "\",\"prefix\":\"" + CALLS + "\",\"kind\":\"idempotent\",\"timeout_ms\":1500,"
            + "\"target_latency_ms\":300,\"priority\":2,\"service\":\"plain\",\"max_attempts\":2}";
        String once = "{\"name\":\"once\",\"host\":\"" + HOST + "\",\"prefix\":\"" + ONCE + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":" + onceTimeoutMs + ","
            + "\"target_latency_ms\":1000,\"priority\":2,\"service\":\"plain\",\"max_attempts\":1}";
        store.write("op/config", "{\"version\":" + configVersion + ",\"routes\":[" + turns + "," + calls + "," + once + "],\"services\":["
            + "{\"name\":\"engines\",\"health_path\":\"/health\",\"connection_limit\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
            + "\"kv_cache_tokens\":97383,\"kv_token_bytes\":18432,\"link_mbps\":130000.0,\"moves\":true,\"backups\":true,\"stride_tokens\":14,"
            + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"plain\",\"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + MAX_BODY_BYTES + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    }

    private String settingsOf(Machine m) {
        String type = switch (m.role) {
            case "gateway" -> "edge";
            case "home" -> "sidecar";
            default -> "storage";
        };
        int memory = m.role.equals("gateway") ? 280 : m.role.equals("home") ? 362 : 300;
        return "node_name = \"" + m.name + "\"\nrole = \"" + m.role + "\"\nmachine_class = \"" + type + "\"\nserves = [\"" + type + "\"]\n"
            + "ip_address = \"" + m.ip + "\"\nzone = \"" + ZONE + "\"\nregion = \"svealand\"\ninternal_port_range = [7380,7395]\nseed_nodes = []\n"
            + "initial_bootstrap = " + !wasStarted + "\ncounts_toward_tolerance = " + m.role.equals("retainer") + "\ndiscovery = \"platform\"\n"
            + "entry_mode = \"virtual_ip\"\nheartbeat_interval_ms = 1200\n"
            + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]\n"
            + (m.role.equals("home") ? "application_address = \"" + m.ip + ":" + ENGINE + "\"\nservice = \"engines\"\n" : "")
            + (m.role.equals("retainer") ? "data_directory = \"" + m.data + "\"\n" : "")
            + "[zones]\n" + ZONE + " = \"svealand\"\n[listen_addresses]\n"
            + (m.role.equals("gateway") ? "front = \"" + m.ip + ":" + FRONT + "\"\nready = \"" + m.ip + ":" + READY + "\"\n" : "")
            + "[limits]\ncpu_share = 0.6\ncpu_cores = 1\nmemory_mb = " + memory + "\nfile_descriptors = 4100\nlink_mbps = 1000.0\ndisk_mb = 380\n"
            + "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
            + "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\nstable_window_ms = 4000\nack_timeout_ms = 5000\ncatch_up_s = 4.4\ndrain_ms = 2500\n"
            + "grace_period_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2500\nrollback_slack_ms = 250\nmax_stretch_ms = 6000\nrecovery_s = 12\n"
            + "pass_ms = 250\nretry_after_s = 0\nfinish_s = 10\nsettle_ms = 1000\n"
            + "[platform]\naddress = \"" + m.ip + ":" + Store.PORT + "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
            + "value_bytes = 1048576\nmin_ttl_ms = 1000\n";
    }

    /** Reads the commands of the roles from the deploy file. */
    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(project.resolve("deploy/system.toml"))) {
            Matcher section = Pattern.compile("\\[roles\\.(\\w+)]").matcher(line.trim());
            if (section.matches()) role = section.group(1);
            Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line.trim());
            if (run.matches()) commands.put(role, List.of(run.group(1).split(" ")));
        }
        if (!commands.keySet().containsAll(List.of("gateway", "home", "retainer"))) unable("the deploy file names other roles");
        if (!Files.exists(project.resolve("target/sycamore/daemons.jar"))) unable("the project is not built");
    }

    static void daemonAfter(long ms, Net.Task task) {
        Net.daemon(() -> {
            Thread.sleep(ms);
            task.run();
        });
    }

    int get(String ip, int port, String path) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(ip, port), 1000);
            s.setSoTimeout(1000);
            s.getOutputStream().write(Net.head("GET " + path + " HTTP/1.1", List.of("Host: " + HOST, "Connection: close"), null));
            return Net.readResponse(new BufferedInputStream(s.getInputStream())).status();
        } catch (IOException e) {
            return 0;
        }
    }

    void unable(String why) {
        System.err.println("cannot run: " + why);
        record("cannot run: " + why);
        endAll();
        Runtime.getRuntime().halt(2);
    }

    /** Ends everything and exits with 1 if the rule was broken. */
    void finish(boolean isBroken, String result) {
        record((isBroken ? "BROKEN: " : "held: ") + result);
        System.out.println((isBroken ? "BROKEN: " : "held: ") + result);
        endAll();
        Runtime.getRuntime().halt(isBroken ? 1 : 0);
    }

    private synchronized void endAll() {
        isOver = true;
        for (List<Machine> all : List.of(gateways, homes, retainers)) {
            for (Machine m : all) {
                Process p = m.process;
                if (p == null) continue;
                p.destroyForcibly();
                try {
                    p.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        if (System.getenv("KEEP") == null) deleteFolder();
    }

    private void deleteFolder() {
        if (!Files.exists(folder)) return;
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println("could not remove " + folder);
        }
    }

    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int n = 0; n < 100; n++) {
            String network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250));
            try (ServerSocket a = new ServerSocket(Store.PORT, 1, InetAddress.getByName(network + ".2"));
                 ServerSocket b = new ServerSocket(FRONT, 1, InetAddress.getByName(network + ".2"))) {
                return network;
            } catch (IOException e) {
                // Another run uses it.
            }
        }
        throw new IOException("no free addresses");
    }
}
