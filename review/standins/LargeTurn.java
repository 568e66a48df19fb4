import java.nio.file.Path;
import java.util.*;

/**
 * One client sends a turn whose body is within max_body_bytes and does not compress to a value of the store. With
 * TROUBLE=0 the body is small. Counts the daemons that end by themselves, and the programs that can't go on.
 */
final class LargeTurn {
    private static final int LARGE_BYTES = 1_600_000;
    private static final int PROGRAMS = 8;
    private static final long WATCH_MS = 85_000;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        fleet.build(4, 3, 2, 0);
        fleet.start();
        List<Program> programs = new ArrayList<>();
        for (int n = 0; n < PROGRAMS; n++) programs.add(new Program(fleet, 1_000_000));
        long settled = fleet.nowMs() + 20_000;
        while (programs.stream().anyMatch(p -> p.last == null) && fleet.nowMs() < settled) {
            for (Program p : programs) if (p.last == null) p.turn(fleet.gateways.get(0), "first input of " + p.name + ";");
        }
        if (programs.stream().anyMatch(p -> p.last == null)) fleet.unable("no turns are served before the disruption");
        Thread.sleep(4000);

        Program large = new Program(fleet, 1_000_000);
        boolean isWhole = large.turn(fleet.gateways.get(1), Fleet.TROUBLE ? Program.photo(LARGE_BYTES) : "a small input;");
        fleet.record("the turn of the client with the " + (Fleet.TROUBLE ? "large" : "small") + " body was " + (isWhole ? "answered whole" : "not answered whole"));
        long end = fleet.nowMs() + WATCH_MS;
        int sent = 0;
        int whole = 0;
        int firstSent = 0;
        int firstWhole = 0;
        while (fleet.nowMs() < end) {
            for (Program p : programs) {
                sent++;
                if (p.turn(fleet.gateways.get(sent % 2), "more input of " + p.name + ";")) whole++;
            }
            firstSent++;
            if (new Program(fleet, 1000).turn(fleet.gateways.get(firstSent % 2), "a new program;")) firstWhole++;
            Thread.sleep(500);
        }
        fleet.record("turns that continue a program: " + whole + " of " + sent + " answered whole; first turns: " + firstWhole + " of " + firstSent);
        long stuck = programs.stream().filter(p -> p.triesSince >= 5).count();
        List<Fleet.Machine> all = new ArrayList<>(fleet.homes);
        all.addAll(fleet.gateways);
        all.addAll(fleet.retainers);
        long ended = 0;
        for (Fleet.Machine m : all) {
            if (m.ownEnds.get() > 0) fleet.record(m.name + " ended by itself " + m.ownEnds.get() + " times");
            if (m.ownEnds.get() >= 3) ended++;
        }
        // "on a tenth of the machines in use (two at least) processes end by themselves three times in the day"
        fleet.finish(ended >= Math.max(2, (all.size() + 9) / 10), "on " + ended + " of " + all.size()
            + " machines the process ended by itself three times or more; " + stuck + " of " + PROGRAMS
            + " programs had five turns or more in a row that were not answered whole; " + whole + " of " + sent + " turns were");
    }
}
