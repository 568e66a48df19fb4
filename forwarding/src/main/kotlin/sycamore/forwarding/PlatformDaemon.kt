package sycamore.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import sun.misc.Signal
import sycamore.daemon.Program
import sycamore.daemon.Stop
import sycamore.daemon.Threads
import sycamore.daemon.log.LogContext
import sycamore.links.LinkBounds
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.links.Serve
import sycamore.model.Checked
import sycamore.platform.HostSettings
import sycamore.platform.StoreKeyValue
import sycamore.services.keyValueClient
import java.io.File
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** What every daemon on the platform has: its settings, the platform's store, links, and signals. */
class PlatformDaemon(
    private val settings: HostSettings,
) {
    /** The platform's store. */
    val keys =
        keyValueClient(
            StoreKeyValue(settings.store.address, StoreHttp.client(), Threads.blocking),
        ) {
            // Far above what a daemon calls; a fault in one daemon must not use up what all share.
            callsPerSecond = 20.0
            burst = 60
            timeout = STORE_TIMEOUT
        }

    /** Links to other daemons. */
    val links = LinkClient(settings.name, bounds = LINKS)

    init {
        LogContext.host(settings.name)
        // The platform tells by SIGHUP that the settings file has changed; the JVM would end at it.
        Signal.handle(Signal("HUP")) { log.info { "the settings file may have changed" } }
        log.info { "daemon ${settings.name} starts in ${settings.place.name}" }
    }

    /** Accepts links of other daemons. */
    suspend fun serveLinks(serve: Serve): LinkServer =
        Program.listeningOn(settings.links) {
            LinkServer.listen(settings.name, settings.links, bounds = LINKS, serve = serve)
        }

    /** Runs [steps] when the platform asks the process to end. */
    fun onStop(steps: suspend () -> Unit) = Stop.onRequest(settings.bounds.grace - STOP_RESERVE, steps)

    companion object {
        /** The store answers in milliseconds; a call that takes this long has lost its connection or its answer. */
        private val STORE_TIMEOUT = 2.seconds

        /** What is left of the time before the process is killed, for its last log lines. */
        private val STOP_RESERVE = 300.milliseconds

        /** A lost peer is noticed within 1.5 s, half of the time that callers of turns wait. */
        private val LINKS =
            LinkBounds(
                handshake = 1.seconds,
                activePing = 400.milliseconds,
                activeSilence = 1500.milliseconds,
                idlePing = 2.seconds,
                idleSilence = 6.seconds,
                idleClose = 300.seconds,
                write = 2.seconds,
            )

        /** Reads the settings of the binary [name], or ends the process with every finding. */
        fun settings(name: String): HostSettings {
            val path = System.getenv(HostSettings.PATH_VARIABLE) ?: HostSettings.DEFAULT_PATH
            val file = File(path)
            if (!file.isFile) Program.fail(Program.EXIT_MISUSE, "$name: expected a settings file at $path, found none")
            return when (val checked = HostSettings.read(path, file.readText())) {
                is Checked.Valid -> checked.value
                is Checked.Invalid -> Program.fail(Program.EXIT_FAILED, checked.findings.joinToString("\n"))
            }
        }
    }
}
