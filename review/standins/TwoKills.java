import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A home is killed, and then the home that has claimed its programs in the store (the process that last wrote to the
 * store under a condition). With TROUBLE=0 nobody is killed. Programs go on all the while. Compares the body of each
 * turn that an engine ran with the chain that the turn names.
 */
final class TwoKills {
    private static final int PROGRAMS = 64;
    private static final int ROUNDS = 9;
    private static final long SECOND_KILL_MS = 900;
    private static final long ROUND_MS = 11_000;
    private static final int MAX_TURNS = 14;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        fleet.build(4, 3, 2, 0);
        fleet.start();
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicInteger whole = new AtomicInteger();
        ExecutorService pool = Executors.newFixedThreadPool(PROGRAMS);
        for (int n = 0; n < PROGRAMS; n++) {
            Fleet.Machine gateway = fleet.gateways.get(n % 2);
            pool.submit(() -> {
                while (!isOver.get()) {
                    Program p = new Program(fleet, 1_000_000);
                    for (int turn = 0; turn < MAX_TURNS && !isOver.get(); turn++) {
                        String input = "input " + turn + " of " + p.name + ";" + "y".repeat(2000);
                        for (int tries = 0; tries < 3 && !p.turn(gateway, input); tries++) Thread.sleep(250);
                        if (p.triesSince > 0) break;
                        whole.incrementAndGet();
                        Thread.sleep(20);
                    }
                }
                return null;
            });
        }
        Thread.sleep(8000);
        if (whole.get() == 0) fleet.unable("no turns are served before the disruption");
        for (int round = 0; round < ROUNDS && fleet.nowMs() < Fleet.LAST_ROUND_MS - ROUND_MS; round++) {
            long next = fleet.nowMs() + ROUND_MS;
            if (Fleet.TROUBLE) killTwo(fleet, round);
            Thread.sleep(Math.max(0, next - fleet.nowMs()));
        }
        isOver.set(true);
        int runs = 0;
        int wrong = 0;
        for (Worker engine : fleet.engines) {
            for (Worker.Run run : new ArrayList<>(engine.runs)) {
                runs++;
                String expected = fleet.expected.get(run.id());
                if (run.body().equals(expected)) continue;
                wrong++;
                fleet.record("WRONG: " + engine.id + " ran " + run.id() + " at " + run.atMs() / 1000.0 + " s with a body of " + run.body().length()
                    + " bytes; its chain has " + (expected == null ? "no such turn" : expected.length() + " bytes, and ends with the body: "
                    + expected.endsWith(run.body())));
            }
        }
        fleet.finish(wrong > 0, "engines ran " + wrong + " of " + runs + " turns with another body than the chain's inputs and outputs; "
            + whole.get() + " turns were answered whole");
    }

    private static void killTwo(Fleet fleet, int round) throws Exception {
        Fleet.Machine first = fleet.homes.get(round % fleet.homes.size());
        Set<String> before = taken(fleet);
        first.kill(true);
        Fleet.daemonAfter(3500, first::start);
        long end = fleet.nowMs() + 3000;
        while (fleet.nowMs() < end) {
            for (String entry : taken(fleet)) {
                if (before.contains(entry)) continue;
                Object successor = Json.parse(entry);
                String name = String.valueOf(((Map<?, ?>) successor).get("successor"));
                for (Fleet.Machine home : fleet.homes) {
                    if (!name.contains(home.name + ".") && !name.contains("=" + home.name) || home == first) continue;
                    Thread.sleep(SECOND_KILL_MS);
                    home.kill(false);
                    return;
                }
            }
            Thread.sleep(10);
        }
        fleet.record("no home has claimed the programs of " + first.name);
    }

    /** The registrations of homes that name a successor. */
    private static Set<String> taken(Fleet fleet) {
        Set<String> taken = new HashSet<>();
        for (String value : fleet.store.values("sycamore/homes/")) if (value.contains("\"successor\":\"") || value.contains("\"successor\":{")) taken.add(value);
        return taken;
    }
}
