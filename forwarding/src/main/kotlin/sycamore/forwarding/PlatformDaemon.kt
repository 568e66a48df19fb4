package sycamore.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sun.misc.Signal
import sycamore.daemon.Http
import sycamore.daemon.HttpLimits
import sycamore.daemon.Metrics
import sycamore.daemon.Program
import sycamore.daemon.Stop
import sycamore.daemon.Threads
import sycamore.daemon.bindKeyValue
import sycamore.daemon.log.LogContext
import sycamore.daemon.log.event
import sycamore.daemon.log.warning
import sycamore.links.LinkBounds
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.links.Serve
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.platform.HostSettings
import sycamore.platform.StoreKeyValue
import sycamore.services.keyValueClient
import java.io.File
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** What every daemon on the platform has: its settings, the platform's store, links, and signals. */
class PlatformDaemon(
    private val settings: HostSettings,
) {
    /** Counts and latencies of this process. */
    val metrics = Metrics()

    @Volatile
    private var bounds = settings.bounds

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
        Signal.handle(Signal("HUP")) { reload() }
        log.event(
            "daemon-starts",
            "version" to Program.VERSION,
            "place" to settings.place.name,
            "region" to settings.place.region,
            "links" to settings.links,
            "store" to settings.store.address,
        )
    }

    /** Times of a stop are in force at once; addresses are used from the start of the process to its end. */
    private fun reload() {
        val read =
            try {
                read()
            } catch (e: IOException) {
                return log.warning("settings-not-read", "findings" to e.message)
            }
        when (read) {
            is Checked.Invalid -> log.warning("settings-not-read", "findings" to read.findings.joinToString("; "))
            is Checked.Valid -> {
                bounds = read.value.bounds
                val needsRestart = read.value.copy(bounds = settings.bounds) != settings
                log.event("settings-read", "bounds" to bounds, "needs_restart" to needsRestart)
            }
        }
    }

    /**
     * Serves the metrics on [port] of this host until cancelled. They begin [after] the daemon's first seconds, in which
     * callers wait for it.
     */
    suspend fun serveMetrics(
        port: Int,
        after: Duration = METRICS_DELAY,
    ) {
        delay(after)
        metrics.bindKeyValue(keys.counts)
        val server =
            try {
                Http.serve(Address(settings.ip, port), ::answerMetrics, METRICS_LIMITS)
            } catch (e: IOException) {
                // Callers are served without metrics too.
                return log.warning("metrics-not-served", "detail" to e.message)
            }
        try {
            awaitCancellation()
        } finally {
            server.stop()
        }
    }

    private fun answerMetrics(request: Request): Response =
        if (request.uri.path == METRICS_PATH) {
            Response(Status.OK).header("content-type", "text/plain; version=0.0.4").body(metrics.scrape())
        } else {
            Response(Status.NOT_FOUND).body("expected $METRICS_PATH, found ${request.uri.path}\n")
        }

    /** Accepts links of other daemons. */
    suspend fun serveLinks(serve: Serve): LinkServer =
        Program.listeningOn(settings.links) {
            LinkServer.listen(settings.name, settings.links, bounds = LINKS, serve = serve)
        }

    /** Runs [steps] when the platform asks the process to end. */
    fun onStop(steps: suspend () -> Unit) = Stop.onRequest({ bounds.gracePeriod - STOP_RESERVE }, steps)

    companion object {
        private const val METRICS_PATH = "/metrics"

        /** The port that exporters of OpenTelemetry use by custom; no other process of a host serves it. */
        private const val METRICS_PORT = 9464
        private val PORTS = 1..65_535

        /** A daemon serves callers within two seconds of its start; the meters of the JVM take processor time then. */
        private val METRICS_DELAY = 5.seconds

        /** Metrics are read by one or two scrapers. */
        private val METRICS_LIMITS = HttpLimits(requests = 4, connections = 8)

        /** The store answers in milliseconds; a call that takes this long has lost its connection or its answer. */
        private val STORE_TIMEOUT = 2.seconds

        /** What is left of the time before the process is killed, for its last log lines. */
        private val STOP_RESERVE = 300.milliseconds

        /**
         * A lost peer is noticed within 1.5 s, half of the time that callers of turns wait. A link without exchanges is not
         * watched more closely than it takes to drop it in the end, as daemons have many of these.
         */
        private val LINKS =
            LinkBounds(
                handshake = 1.seconds,
                activePing = 400.milliseconds,
                activeSilence = 1500.milliseconds,
                idlePing = 20.seconds,
                idleSilence = 60.seconds,
                idleClose = 15.seconds,
                write = 2.seconds,
            )

        /** The port for metrics that the command line [args] of the binary [name] names. */
        fun metricsPort(
            name: String,
            args: Array<String>,
        ): Int {
            val parser = Program.parser(name, args)
            val port by parser
                .option(ArgType.Int, "metrics-port", "m", "port at which metrics are read")
                .default(METRICS_PORT)
            parser.parse(args)
            if (port !in PORTS) Program.fail(Program.EXIT_MISUSE, "$name: expected a port in $PORTS, found $port")
            return port
        }

        /** Reads the settings of the binary [name], or ends the process with every finding. */
        fun settings(name: String): HostSettings {
            if (!file().isFile) {
                Program.fail(Program.EXIT_MISUSE, "$name: expected a settings file at ${file()}, found none")
            }
            return when (val checked = read()) {
                is Checked.Valid -> checked.value
                is Checked.Invalid -> Program.fail(Program.EXIT_FAILED, checked.findings.joinToString("\n"))
            }
        }

        private fun file() = File(System.getenv(HostSettings.PATH_VARIABLE) ?: HostSettings.DEFAULT_PATH)

        private fun read(): Checked<HostSettings> = HostSettings.read(file().path, file().readText())
    }
}
