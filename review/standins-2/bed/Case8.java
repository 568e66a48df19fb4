package bed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Clients send bodies within max_body_bytes to one gateway at the same time. */
public final class Case8 {
    private static final int CALLS = 48;
    private static final int BODY_BYTES = 4_000_000;
    private static final int SMALL_BYTES = 3_600;
    private static final int TIMEOUT_MS = 6000;
    private static final int SLACK_MS = 500;

    private Case8() {}

    public static void main(String[] args) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Bed bed = new Bed(args[0])) {
            code = run(bed, isTroubled ? BODY_BYTES : SMALL_BYTES);
        }
        System.exit(code);
    }

    private static int run(Bed bed, int size) throws Exception {
        Daemon gateway = bed.gateway(0);
        for (int zone = 0; zone < 3; zone++) bed.plain(zone, Bed.SERVICE);
        bed.workers.forEach(it -> it.pause = 200);
        bed.store.put("op/config", Config.standard(7).json());
        bed.startAll();
        if (!bed.awaitReady(2000)) {
            System.out.println("the case cannot run: the gateway is not ready");
            return 2;
        }
        byte[] body = new byte[size];
        new Random(1).nextBytes(body);
        ExecutorService pool = Executors.newCachedThreadPool();
        List<Callable<Client.Answer>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(() -> Client.send(bed, gateway, "POST", Config.ORDERS + "4b", Map.of(), body, TIMEOUT_MS));
        }
        Map<String, Integer> results = new TreeMap<>();
        int lasting = 0;
        int unanswered = 0;
        for (Future<Client.Answer> call : pool.invokeAll(calls)) {
            Client.Answer answer = call.get();
            long took = answer.endedAt() - answer.sentAt();
            results.merge(answer.status() == 0 ? answer.failure() : "status " + answer.status(), 1, Integer::sum);
            if (took > TIMEOUT_MS) lasting++;
            // The client waits for a second more than the route's timeout. Neither an answer nor a close has come by then.
            if (took > TIMEOUT_MS + SLACK_MS) unanswered++;
        }
        pool.shutdownNow();
        bed.record("daemon", "name", gateway.name, "alive", gateway.isAlive(), "ready", bed.isReady(gateway), "out_of_memory", gateway.hasLogged("OutOfMemoryError"));
        bed.record("result", "calls", results, "longer_than_timeout", lasting, "without_final_answer_after_slack", unanswered);
        System.out.println("calls: " + results + "; longer than timeout_ms: " + lasting + ", without a final answer 0.5 s after it: " + unanswered);
        return unanswered >= 8 && unanswered * 4 > lasting ? 1 : 0;
    }
}
