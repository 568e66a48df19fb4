import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * The store turns the machine of one home away for some seconds. Meanwhile a storage machine is emptied and taken away,
 * another one loses its disk right after, and the home is killed. With TROUBLE=0 none of this happens. Later, the
 * programs continue their turns that were answered whole.
 */
final class RetiredRetainer {
    private static final int PROGRAMS = 24;
    private static final long TURNED_AWAY_MS = 9000;
    /** A client sends each turn up to three times, with one retry each. */
    private static final int TRIES = 6;
    private static final long RETRY_MS = 300;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        fleet.build(3, 3, 2, 0);
        fleet.start();
        ExecutorService pool = Executors.newFixedThreadPool(PROGRAMS);
        List<Program> programs = new ArrayList<>();
        // A home that has just started may get its first programs later than the others.
        Thread.sleep(2000);
        long end = fleet.nowMs() + 20_000;
        while (fleet.nowMs() < end && atHome1(programs) < PROGRAMS / 3) {
            List<Program> more = new ArrayList<>();
            for (int n = 0; n < 8; n++) more.add(new Program(fleet, 1_000_000));
            await(pool, more, p -> {
                for (int tries = 0; tries < 12 && p.statuses.stream().filter(s -> s == 200).count() < 3; tries++) p.turn(fleet.gateways.get(0), "said before;");
            });
            programs.addAll(more);
        }
        if (atHome1(programs) == 0) fleet.unable("no program is at home1");
        if (programs.stream().anyMatch(p -> p.last == null)) fleet.unable("turns fail before the disruption");
        Thread.sleep(5000);
        Fleet.Machine home = fleet.homes.get(0);
        Fleet.Machine retired = fleet.retainers.get(2);
        Fleet.Machine wiped = fleet.retainers.get(0);
        long begin = fleet.nowMs();
        if (Fleet.TROUBLE) {
            fleet.record("the store turns home1 away with 503");
            home.store.set(Store.Mode.BUSY);
            Fleet.daemonAfter(TURNED_AWAY_MS, () -> {
                fleet.record("the store serves home1 again");
                home.store.set(Store.Mode.UP);
            });
            Thread.sleep(300);
            fleet.record("the operator asks that retainer3 be emptied");
            fleet.store.write("op/retire/" + retired.name, "{\"duration_s\":8.4}");
            while (!String.valueOf(fleet.store.read("status/retire/" + retired.name)).contains("completed")) {
                if (fleet.nowMs() - begin > TURNED_AWAY_MS - 3000) {
                    fleet.record("retainer3 is not empty in time");
                    break;
                }
                Thread.sleep(20);
            }
            if (String.valueOf(fleet.store.read("status/retire/" + retired.name)).contains("completed")) {
                fleet.record("retainer3 says that it is empty, and is taken away; retainer1 loses its disk");
                retired.kill(true);
                wiped.kill(true);
                wiped.process.waitFor();
                wiped.wipe();
                Thread.sleep(1000);
                wiped.start();
                Thread.sleep(300);
                home.kill(false);
            }
        }
        // Longer than recovery_s after the store serves home1 again.
        Thread.sleep(Math.max(0, begin + TURNED_AWAY_MS + 14_000 - fleet.nowMs()));
        int firsts = 0;
        int firstsWhole = 0;
        for (int n = 0; n < TRIES && fleet.nowMs() < Fleet.LAST_ROUND_MS; n++) {
            int round = n;
            await(pool, programs, p -> {
                if (round == 0 || p.triesSince > 0) p.turn(fleet.gateways.get(round % 2), "goes on;");
            });
            for (int k = 0; k < 4; k++) {
                firsts++;
                if (new Program(fleet, 1000).turn(fleet.gateways.get(k % 2), "new;")) firstsWhole++;
            }
            Thread.sleep(RETRY_MS);
        }
        Set<String> ran = new HashSet<>();
        fleet.engines.forEach(e -> e.runs.forEach(r -> ran.add(r.id())));
        // "reaches no worker in five tries or more"
        long stuck = programs.stream().filter(p -> p.triesSince >= 5 && p.idsSince.stream().noneMatch(ran::contains)).count();
        long missing = programs.stream().filter(p -> p.statuses.contains(404) || p.statuses.contains(410)).count();
        fleet.finish(missing > 0 || stuck > 0 && firstsWhole * 10 >= firsts * 9, stuck + " of " + programs.size()
            + " programs could not go on from a turn that was answered whole, in " + TRIES + " tries more than 12 s after the disruption; "
            + missing + " got 404; first turns: " + firstsWhole + " of " + firsts);
    }

    private static long atHome1(List<Program> programs) {
        return programs.stream().filter(p -> p.lastEngine().equals("i-engine0")).count();
    }

    private static void await(ExecutorService pool, List<Program> programs, java.util.function.Consumer<Program> step) throws Exception {
        List<Future<?>> steps = new ArrayList<>();
        for (Program p : programs) steps.add(pool.submit(() -> step.accept(p)));
        for (Future<?> s : steps) s.get();
    }
}
