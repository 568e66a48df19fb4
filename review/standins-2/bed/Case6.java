package bed;

import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One home is killed after its log has grown. Turns that were answered whole shortly before are continued. */
public final class Case6 {
    /** The size of the homes' logs in the store at which the home is killed. */
    private static final long LOG_BYTES = 38_000_000;

    private static final int FILL_LIMIT_MS = 78_000;
    private static final int CALLERS = 15;

    /** Two turns a second from each caller: 30 a second in all. The sheet of the site has 20.5, and bursts of 2.1 times that. */
    private static final int CALLER_INTERVAL_MS = 500;
    private static final int WITNESSES = 24;

    /** 19,500 random bytes as text: 26,000 bytes, the largest input of the site's turns. */
    private static final int INPUT_BYTES = 19_500;

    private static final int RETENTION_MS = 60_000;
    private static final int LAST_TRIES_MS = 12_000;

    private Case6() {}

    public static void main(String[] args) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Bed bed = new Bed(args[0])) {
            code = run(bed, isTroubled);
        }
        System.exit(code);
    }

    private static int run(Bed bed, boolean isTroubled) throws Exception {
        Daemon gateway = bed.gateway(0);
        List<Daemon> homes = List.of(bed.home(0), bed.home(1), bed.home(2));
        for (int zone = 0; zone < 3; zone++) bed.retainer(zone);
        for (Worker worker : bed.workers) {
            worker.events = 2;
            worker.pause = 15;
        }
        bed.store.put("op/config", Config.standard(7).json());
        bed.startAll();
        if (!bed.awaitReady(3000)) return fail(bed, "the gateway is not ready");

        fill(bed, gateway);
        Thread.sleep(3000);
        bed.record("filled", "log_bytes", bed.store.bytes("sycamore/log/"));

        Map<String, Client.Answer> witnesses = new LinkedHashMap<>();
        for (int i = 0; i < WITNESSES; i++) {
            String program = "w" + Client.newId();
            Client.Answer answer = turn(bed, gateway, program, null, "first words of " + program);
            if (answer.isOk()) witnesses.put(program, answer);
        }
        if (witnesses.size() < WITNESSES / 2) return fail(bed, "too few first turns were answered");
        Thread.sleep(1000);

        Daemon killed = homeOf(bed, homes, witnesses.values().iterator().next().id());
        long killedAt = bed.now();
        if (isTroubled) {
            bed.record("signal", "signal", "KILL", "process", killed.name);
            killed.kill();
            Thread.sleep(1000);
            killed.start();
        }

        Map<Integer, Integer> statuses = new TreeMap<>();
        int notFound = 0;
        while (bed.now() - killedAt < LAST_TRIES_MS) {
            for (var witness : witnesses.entrySet()) {
                Client.Answer previous = witness.getValue();
                Client.Answer answer = turn(bed, gateway, witness.getKey(), previous.id(), "next words");
                statuses.merge(answer.status(), 1, Integer::sum);
                boolean isRetained = answer.endedAt() - previous.endedAt() < RETENTION_MS;
                if (isRetained && (answer.status() == 404 || answer.status() == 410)) notFound++;
            }
            Thread.sleep(500);
        }
        for (Daemon daemon : bed.daemons) {
            bed.record("daemon", "name", daemon.name, "alive", daemon.isAlive(), "out_of_memory", daemon.hasLogged("OutOfMemoryError"));
        }
        bed.record("result", "statuses_of_next_turns", statuses, "answered_404_or_410", notFound);
        System.out.println("next turns by status: " + statuses + "; answered 404 or 410 within retention_s: " + notFound);
        return notFound > 0 ? 1 : 0;
    }

    /** Sends first turns of new programs until the logs have [LOG_BYTES]. */
    private static void fill(Bed bed, Daemon gateway) throws InterruptedException {
        AtomicBoolean isOn = new AtomicBoolean(true);
        AtomicInteger answered = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Random random = new Random(i);
            Thread caller = new Thread(() -> {
                while (isOn.get()) {
                    long next = bed.now() + CALLER_INTERVAL_MS;
                    byte[] bytes = new byte[INPUT_BYTES];
                    random.nextBytes(bytes);
                    String input = Base64.getEncoder().encodeToString(bytes);
                    if (turn(bed, gateway, "f" + Client.newId(), null, input).isOk()) answered.incrementAndGet();
                    sleep(next - bed.now());
                }
            });
            caller.start();
            callers.add(caller);
        }
        long end = bed.now() + FILL_LIMIT_MS;
        while (bed.now() < end && bed.store.bytes("sycamore/log/") < LOG_BYTES) Thread.sleep(100);
        isOn.set(false);
        for (Thread caller : callers) caller.join();
        bed.record("fill-ended", "turns_answered", answered);
    }

    private static void sleep(long millis) {
        try {
            if (millis > 0) Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Client.Answer turn(Bed bed, Daemon gateway, String program, String previous, String input) {
        return Client.send(bed, gateway, "POST", Config.TURNS + "4b", Client.turnHeaders(program, previous, 10_000, 100), input.getBytes(), 3000);
    }

    /** The home beside the engine that ran [turn]. */
    private static Daemon homeOf(Bed bed, List<Daemon> homes, String turn) {
        for (Daemon home : homes) {
            if (bed.engineOf(home).runs.stream().anyMatch(it -> it.id().equals(turn))) return home;
        }
        throw new IllegalStateException("no engine ran the turn");
    }

    private static int fail(Bed bed, String reason) {
        bed.record("cannot-run", "reason", reason);
        System.out.println("the case cannot run: " + reason);
        return 2;
    }
}
