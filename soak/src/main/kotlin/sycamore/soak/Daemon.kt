package sycamore.soak

import sycamore.platform.SampleDocuments
import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The daemons on the platform. */
internal enum class Role(
    val mainClass: String,
) {
    GATEWAY("sycamore.gateway.MainKt"),
    HOME("sycamore.homes.MainKt"),
    RETAINER("sycamore.retainer.MainKt"),
}

/**
 * One daemon as a process of its own.
 *
 * @param classPath the class path with the daemons' classes.
 * @param onUnexpectedExit called when the process ends without having been stopped.
 */
internal class Daemon(
    val name: String,
    val role: Role,
    val ip: String,
    private val settings: Path,
    val log: File,
    private val classPath: String,
    private val onUnexpectedExit: (Daemon, code: Int) -> Unit,
) {
    private var process: Process? = null

    @Volatile
    private var isStopping = false

    /** Starts the process, unless it runs. */
    @Synchronized
    fun start() {
        if (process?.isAlive == true) return
        isStopping = false
        val command = listOf(JAVA) + FLAGS + listOf("-cp", classPath, role.mainClass)
        val builder = ProcessBuilder(command).redirectErrorStream(true)
        builder.environment()["SYCAMOREGW_NODE_FILE"] = settings.toString()
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        val begin = TimeSource.Monotonic.markNow()
        val started = builder.start()
        process = started
        started.onExit().thenAccept {
            if (isStopping || process !== it) return@thenAccept
            if (begin.elapsedNow() > BOOT_TIME) onUnexpectedExit(this, it.exitValue())
            start()
        }
    }

    /** Ends the process without warning. */
    @Synchronized
    fun kill() {
        isStopping = true
        process?.destroyForcibly()?.waitFor()
    }

    /** Requests the process to stop, and kills it after the grace period. */
    @Synchronized
    fun terminate() {
        isStopping = true
        val running = process ?: return
        running.destroy()
        if (!running.waitFor(SampleDocuments.gracePeriod.inWholeMilliseconds, TimeUnit.MILLISECONDS)) kill()
    }

    /** Sends the signal [name], such as HUP, if the process runs. */
    fun signal(name: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$name", running.pid().toString()).start().waitFor()
    }

    private companion object {
        /** A signal within this time of the start may end the JVM, which has no handlers yet. */
        val BOOT_TIME: Duration = 1.seconds
        val JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val FLAGS =
            "-Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Dsycamore.platform.logs=true"
                .split(' ')
    }
}
