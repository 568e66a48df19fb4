import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * Programs spend their budgets. Then the machine of one home freezes, the programs send a further turn through another
 * gateway, another home is killed, and they send one more. With TROUBLE=0 nothing freezes and nobody is killed. Compares
 * the tokens that reached the clients with the budgets.
 */
final class FrozenHome {
    private static final int PROGRAMS = 240;
    private static final int TURNS = 3;
    private static final int TOKENS_PER_TURN = 70;
    private static final long BUDGET = TURNS * TOKENS_PER_TURN;
    private static final long FREEZE_MS = 3200;
    private static final int ROUNDS = 5;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        fleet.build(4, 3, 2, 0);
        fleet.engines.forEach(e -> e.workMs = 40);
        fleet.start();
        ExecutorService pool = Executors.newFixedThreadPool(PROGRAMS);
        List<Program> all = new ArrayList<>();
        for (int round = 0; round < ROUNDS && fleet.nowMs() < Fleet.LAST_ROUND_MS - 15_000; round++) {
            List<Program> programs = new ArrayList<>();
            for (int n = 0; n < PROGRAMS; n++) programs.add(new Program(fleet, BUDGET));
            all.addAll(programs);
            ExecutorService few = Executors.newFixedThreadPool(16);
            await(few, programs, p -> {
                for (int tries = 0; tries < 12 && p.tokens < BUDGET; tries++) p.turn(fleet.gateways.get(0), "spends;");
            });
            few.shutdown();
            long spent = programs.stream().filter(p -> p.tokens == BUDGET).count();
            fleet.record("round " + round + ": " + spent + " of " + PROGRAMS + " programs have spent their budgets");
            Thread.sleep(3000);
            if (Fleet.TROUBLE) trouble(fleet, pool, programs, fleet.homes.get(round % fleet.homes.size()));
            else {
                await(pool, programs, p -> p.startLine(fleet.gateways.get(1)));
                await(pool, programs, p -> p.startLine(fleet.gateways.get(1)));
            }
            if (broken(all).size() > 0) break;
            Thread.sleep(4000);
        }
        List<Program> broken = broken(all);
        for (Program p : broken) fleet.record("program " + p.name + ": " + p.tokens + " tokens, budget " + BUDGET);
        long atMost = all.stream().filter(p -> p.tokens > BUDGET && p.tokens <= BUDGET + TOKENS_PER_TURN).count();
        fleet.finish(!broken.isEmpty(), broken.size() + " of " + all.size() + " programs got more tokens than their budget and the most of one turn; "
            + atMost + " more exceeded their budget by one turn at most");
    }

    private static List<Program> broken(List<Program> all) {
        return all.stream().filter(p -> p.tokens > BUDGET + TOKENS_PER_TURN).toList();
    }

    private static void trouble(Fleet fleet, ExecutorService pool, List<Program> programs, Fleet.Machine frozen) throws Exception {
        frozen.signal("STOP");
        Fleet.daemonAfter(FREEZE_MS, () -> frozen.signal("CONT"));
        List<Future<?>> first = new ArrayList<>();
        for (Program p : programs) first.add(pool.submit(() -> p.startLine(fleet.gateways.get(1))));
        Thread.sleep(800);
        // The home at which the most programs went on beyond their budgets.
        Map<String, Integer> over = new HashMap<>();
        for (Program p : programs) if (p.tokens > BUDGET) over.merge(p.lastEngine(), 1, Integer::sum);
        fleet.record("beyond their budgets: " + over);
        if (over.isEmpty()) {
            for (Future<?> f : first) f.get();
            return;
        }
        String engine = Collections.max(over.entrySet(), Map.Entry.comparingByValue()).getKey();
        Fleet.Machine killed = fleet.homes.get(Integer.parseInt(engine.replace("i-engine", "")));
        if (killed == frozen) return;
        killed.kill(false);
        List<Program> next = programs.stream().filter(p -> p.tokens > BUDGET).toList();
        await(pool, next, p -> {
            for (int tries = 0; tries < 3; tries++) p.startLine(fleet.gateways.get(1));
        });
        for (Future<?> f : first) f.get();
    }

    private static void await(ExecutorService pool, List<Program> programs, java.util.function.Consumer<Program> step) throws Exception {
        List<Future<?>> steps = new ArrayList<>();
        for (Program p : programs) steps.add(pool.submit(() -> step.accept(p)));
        for (Future<?> s : steps) s.get();
    }
}
