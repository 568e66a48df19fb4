import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * The store turns the machine of one home away for some seconds while programs begin whose inputs are large, and then
 * that home is killed. With TROUBLE=0 neither happens. Later, the programs continue their turns that were answered whole.
 */
final class LargeOutage {
    private static final int CLIENTS = 16;
    private static final int INPUT_BYTES = 250_000;
    private static final long OUTAGE_MS = 9000;
    /** A client sends each turn up to three times, with one retry each. */
    private static final int TRIES = 6;
    private static final long RETRY_MS = 300;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        fleet.build(3, 3, 2, 0);
        fleet.start();
        Program first = new Program(fleet, 1_000_000);
        for (int n = 0; n < 20 && first.last == null; n++) first.turn(fleet.gateways.get(0), "first;");
        if (first.last == null) fleet.unable("no turns are served before the disruption");
        Thread.sleep(4000);
        if (Fleet.TROUBLE) {
            fleet.record("the store turns home1 away with 503");
            fleet.homes.get(0).store.set(Store.Mode.BUSY);
        }
        List<Program> programs = Collections.synchronizedList(new ArrayList<>());
        ExecutorService pool = Executors.newFixedThreadPool(CLIENTS);
        long end = fleet.nowMs() + OUTAGE_MS;
        List<Future<?>> clients = new ArrayList<>();
        for (int n = 0; n < CLIENTS; n++) {
            Fleet.Machine gateway = fleet.gateways.get(n % 2);
            clients.add(pool.submit(() -> {
                while (fleet.nowMs() < end - 700) {
                    Program p = new Program(fleet, 1_000_000);
                    if (p.turn(gateway, Program.photo(INPUT_BYTES))) programs.add(p);
                }
            }));
        }
        Thread.sleep(Math.max(0, end - 500 - fleet.nowMs()));
        Fleet.Machine killed = fleet.homes.get(0);
        if (Fleet.TROUBLE) killed.kill(false);
        Thread.sleep(Math.max(0, end - fleet.nowMs()));
        if (Fleet.TROUBLE) {
            fleet.record("the store serves home1 again");
            fleet.homes.get(0).store.set(Store.Mode.UP);
        }
        for (Future<?> client : clients) client.get();
        fleet.record(programs.size() + " programs have a turn that was answered whole");
        // Longer than recovery_s, and than stable_window_ms after the home is back.
        Thread.sleep(14_000);
        int[] firsts = new int[2];
        for (int n = 0; n < TRIES && fleet.nowMs() < Fleet.LAST_ROUND_MS; n++) {
            List<Future<?>> tries = new ArrayList<>();
            int round = n;
            for (Program p : programs) {
                if (p.statuses.size() > 1 && p.triesSince == 0) continue;
                tries.add(pool.submit(() -> { p.turn(fleet.gateways.get(round % 2), "goes on;"); }));
            }
            for (Future<?> t : tries) t.get();
            for (int k = 0; k < 4; k++) {
                firsts[0]++;
                if (new Program(fleet, 1000).turn(fleet.gateways.get(k % 2), "new;")) firsts[1]++;
            }
            Thread.sleep(RETRY_MS);
        }
        Set<String> ran = new HashSet<>();
        fleet.engines.forEach(e -> e.runs.forEach(r -> ran.add(r.id())));
        // "reaches no worker in five tries or more"
        long stuck = programs.stream().filter(p -> p.triesSince >= 5 && p.idsSince.stream().noneMatch(ran::contains)).count();
        long missing = programs.stream().filter(p -> p.statuses.contains(404) || p.statuses.contains(410)).count();
        fleet.record("first turns answered whole: " + firsts[1] + " of " + firsts[0]);
        fleet.finish(missing > 0 || stuck > 0 && firsts[1] * 10 >= firsts[0] * 9, stuck + " of " + programs.size()
            + " programs could not go on from a turn that was answered whole, in " + TRIES + " tries more than 12 s after the home was back; "
            + missing + " got 404; first turns: " + firsts[1] + " of " + firsts[0]);
    }
}
