package bed;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the daemons of the project as processes, and stand-ins of the store and of workers in this
 * process. Each machine has an address of its own.
 */
final class Bed implements AutoCloseable {
    static final int CALLERS = 8149;
    static final int READY = 8141;
    static final int STORE = 8142;
    static final int ENGINE = 8145;
    static final int PLAIN = 8150;
    static final String HOST = "ficu95.example";
    static final String ENGINES = "assist-llm";
    static final String SERVICE = "order-app";
    private static final String[][] ZONES = {{"svea-a", "svealand"}, {"gota-a", "gotaland"}, {"norr-a", "norrland"}};

    final Path folder = Files.createTempDirectory("review-2-");
    final Store store = new Store();
    final List<Daemon> daemons = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    private final List<Worker> registered = new ArrayList<>();
    private final PrintWriter record;
    private final long begin = System.nanoTime();
    private final String network = freeNetwork();
    private final Thread killAll = new Thread(() -> daemons.forEach(Daemon::kill));
    private int nextHost = 2;
    private long sequence;

    Bed(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Runtime.getRuntime().addShutdownHook(killAll);
    }

    /** The milliseconds since the start of this bed. */
    long now() {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    /** Writes a line to the record: an event and pairs of names and values, of which null ones are left out. */
    synchronized void record(String event, Object... pairs) {
        StringBuilder line = new StringBuilder(String.format("%7d %s", now(), event));
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i + 1] != null) line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        record.println(line);
    }

    void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** The size of [bytes] and the beginning of their hash. */
    static String digest(byte[] bytes) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(bytes);
            return bytes.length + ":" + HexFormat.of().formatHex(hash).substring(0, 12);
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The command of [role] in the deploy file. */
    String runLine(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) throw new IOException("no command of " + role);
        return matcher.group(1);
    }

    Daemon gateway(int zone) throws IOException {
        String ip = nextIp();
        return daemon("gateway", "edge", zone, ip, "", "front = \"" + ip + ":" + CALLERS + "\"\nready = \"" + ip + ":" + READY + "\"", false);
    }

    /** A home, with an engine on its machine. */
    Daemon home(int zone) throws IOException {
        String ip = nextIp();
        Worker engine = new Worker(this, "i-e" + workers.size() + "-" + Long.toHexString(System.nanoTime()), ENGINES, ZONES[zone][0], new InetSocketAddress(ip, ENGINE));
        workers.add(engine);
        String more = "application_address = \"" + ip + ":" + ENGINE + "\"\nservice = \"" + ENGINES + "\"\n";
        return daemon("home", "sidecar", zone, ip, more, "", false);
    }

    Daemon retainer(int zone) throws IOException {
        String ip = nextIp();
        Path data = Files.createDirectories(folder.resolve("data-" + nextHost));
        return daemon("retainer", "storage", zone, ip, "data_directory = \"" + data + "\"\n", "", true);
    }

    Worker plain(int zone, String service) throws IOException {
        Worker worker = new Worker(this, "i-p" + workers.size() + "-" + Long.toHexString(System.nanoTime()), service, ZONES[zone][0], new InetSocketAddress(nextIp(), PLAIN));
        workers.add(worker);
        return worker;
    }

    /** The engine on the machine of [home]. */
    Worker engineOf(Daemon home) {
        return workers.stream().filter(it -> it.address.getHostString().equals(home.ip)).findFirst().orElseThrow();
    }

    private String nextIp() {
        return network + "." + nextHost++;
    }

    private Daemon daemon(String role, String machine, int zone, String ip, String more, String listeners, boolean counts) throws IOException {
        String name = machine + "-" + ZONES[zone][0] + "-" + nextHost;
        store.serve(name, new InetSocketAddress(ip, STORE));
        StringBuilder zones = new StringBuilder();
        for (String[] pair : ZONES) zones.append(pair[0]).append(" = \"").append(pair[1]).append("\"\n");
        String settings = """
            node_name = "%s"
            role = "%s"
            machine_class = "%s"
            serves = ["%s"]
            ip_address = "%s"
            zone = "%s"
            region = "%s"
            internal_port_range = [7380,7395]
            seed_nodes = []
            initial_bootstrap = true
            counts_toward_tolerance = %s
            discovery = "platform"
            entry_mode = "virtual_ip"
            heartbeat_interval_ms = 1200
            contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
            %s
            [zones]
            %s
            [listen_addresses]
            %s
            [limits]
            cpu_share = 0.6
            cpu_cores = 1
            memory_mb = 300
            file_descriptors = 4096
            link_mbps = 1000.0
            disk_mb = %d
            [fault_tolerance]
            machines = 1
            zones = 0
            regions = 0
            [bounds]
            seed_lag_s = 3
            address_reuse_s = 2
            stable_window_ms = 4000
            ack_timeout_ms = 5000
            catch_up_s = 4.4
            drain_ms = 2500
            grace_period_s = 8
            loss_slack_ms = 200
            config_apply_ms = 2500
            rollback_slack_ms = 250
            max_stretch_ms = 6000
            recovery_s = 12
            pass_ms = 250
            retry_after_s = 0
            finish_s = 10
            settle_ms = 1000
            [platform]
            address = "%s:%d"
            form = "kv"
            writes_per_s = 400
            reads_per_s = 2000
            history_s = 20
            value_bytes = 1048576
            min_ttl_ms = 1000
            """.formatted(name, role, machine, machine, ip, ZONES[zone][0], ZONES[zone][1], counts, more, zones, listeners, counts ? 380 : 0, ip, STORE);
        Daemon daemon = new Daemon(this, role, name, ip, settings);
        daemons.add(daemon);
        return daemon;
    }

    /** Registers all workers, and renews their entries as they do; then starts all daemons. */
    void startAll() throws IOException {
        workers.forEach(this::register);
        start(this::renew);
        for (Daemon daemon : daemons) daemon.start();
    }

    void register(Worker worker) {
        synchronized (registered) {
            registered.add(worker);
            store.put("servers/" + worker.id, worker.entry("ready", ++sequence));
        }
    }

    /** Removes the entry of [worker]. It serves on. */
    void unregister(Worker worker) {
        synchronized (registered) {
            registered.remove(worker);
            store.put("servers/" + worker.id, null);
            record("entry-removed", "worker", worker.id);
        }
    }

    private void renew() {
        try {
            while (true) {
                Thread.sleep(1200);
                synchronized (registered) {
                    if (store.isDown) continue;
                    for (Worker worker : registered) store.put("servers/" + worker.id, worker.entry("ready", ++sequence));
                }
            }
        } catch (InterruptedException e) {
            // The bed was closed.
        }
    }

    /** Waits until all gateways are ready, and for [settle] ms more; false if they are not within 30 s. */
    boolean awaitReady(long settle) throws InterruptedException {
        long end = now() + 30_000;
        for (Daemon daemon : daemons) {
            if (!daemon.role.equals("gateway")) continue;
            while (!isReady(daemon)) {
                if (now() > end) return false;
                Thread.sleep(100);
            }
        }
        Thread.sleep(settle);
        return true;
    }

    boolean isReady(Daemon gateway) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL("http://" + gateway.ip + ":" + READY + "/api/readiness").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The first three numbers of addresses on loopback that no other run uses. */
    private static String freeNetwork() throws IOException {
        long pid = ProcessHandle.current().pid();
        for (int i = 0; i < 200; i++) {
            String network = "127." + (10 + (pid + i) % 200) + "." + (1 + pid / 200 % 200);
            try (ServerSocket socket = new ServerSocket(STORE, 1, InetAddress.getByName(network + ".2"))) {
                return network;
            } catch (IOException e) {
                // Another run uses it.
            }
        }
        throw new IOException("no free addresses");
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::kill);
        workers.forEach(Worker::close);
        store.stop();
        Runtime.getRuntime().removeShutdownHook(killAll);
        record.flush();
        if (System.getenv("KEEP_LOGS") == null) delete(folder);
        else System.err.println("logs: " + folder);
    }

    private static void delete(Path folder) {
        try (var paths = Files.walk(folder)) {
            paths.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // Its files are temporary ones.
        }
    }
}
