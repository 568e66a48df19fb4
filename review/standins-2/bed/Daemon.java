package bed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon of the project as a process, started with the line of the deploy file. */
final class Daemon {
    final String role;
    final String name;
    final String ip;
    final Path log;
    private final Bed bed;
    private final Path settings;
    private final List<String> command;
    private Process process;

    Daemon(Bed bed, String role, String name, String ip, String settings) throws IOException {
        this.bed = bed;
        this.role = role;
        this.name = name;
        this.ip = ip;
        this.settings = Files.writeString(bed.folder.resolve(name + ".toml"), settings);
        log = bed.folder.resolve(name + ".log");
        command = List.of(bed.runLine(role).split(" "));
    }

    synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("SYCAMOREGW_NODE_FILE", settings.toString());
        if (role.equals("gateway")) builder.environment().put("SYCAMORE_CALLERS", ip + ":" + Bed.CALLERS);
        process = builder.start();
        bed.record("started", "process", name);
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(ip, Bed.CALLERS);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Sends the signal [name], such as STOP, to the process. */
    void signal(String name) throws IOException, InterruptedException {
        bed.record("signal", "signal", name, "process", this.name);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Ends the process without a warning. */
    void kill() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the log of the process has a line with all of [words]. */
    boolean hasLogged(String... words) throws IOException {
        if (!Files.exists(log)) return false;
        for (String line : Files.readAllLines(log)) {
            boolean hasAll = true;
            for (String word : words) hasAll &= line.contains(word);
            if (hasAll) return true;
        }
        return false;
    }
}
