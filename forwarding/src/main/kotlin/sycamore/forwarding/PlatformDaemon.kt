package sycamore.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.daemon.Http
import sycamore.daemon.HttpLimits
import sycamore.daemon.Metrics
import sycamore.daemon.Program
import sycamore.daemon.Stop
import sycamore.daemon.bindKeyValue
import sycamore.daemon.log.LogContext
import sycamore.daemon.log.event
import sycamore.daemon.log.warning
import sycamore.links.LinkBounds
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.links.MessageHandler
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.platform.HostSettings
import java.io.File
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** The parts that all daemons on the platform share: settings, key-value client, links, metrics and signal handling. */
class PlatformDaemon(
    private val settings: HostSettings,
) {
    /** The metrics of this process. */
    val metrics = Metrics()

    /** The time bounds in force. */
    @Volatile
    var bounds = settings.bounds
        private set

    /** The client of the platform's key-value service. */
    val keyValue = storeClient(settings.store, settings.bounds)

    /** The client side of the links to other daemons. */
    val links = LinkClient(settings.name, bounds = LINK_BOUNDS)

    init {
        LogContext.setHost(settings.name)
        log.event(
            "daemon-starts",
            "version" to Program.VERSION,
            "place" to settings.place.name,
            "region" to settings.place.region,
            "links" to settings.links,
            "store" to settings.store.address,
        )
        ReloadSignal.handle()
        ReloadSignal.onReload(::reload)
    }

    /**
     * Reads the settings file again and applies its time bounds at once. All other settings, such as addresses, keep
     * their values until the process is restarted.
     */
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
     * Serves the metrics on [port] of this host until cancelled.
     *
     * @param startDelay the delay before metrics are served, so that their setup does not slow down the start of the
     *   daemon, for which callers wait.
     */
    suspend fun serveMetrics(
        port: Int,
        startDelay: Duration = METRICS_START_DELAY,
    ) {
        delay(startDelay)
        metrics.bindKeyValue(keyValue.counts)
        val server =
            try {
                Http.serve(Address(settings.ip, port), ::answerMetrics, METRICS_HTTP_LIMITS)
            } catch (e: IOException) {
                // The daemon serves its callers without metrics as well.
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

    /** Accepts links from other daemons and answers their messages with [serve]. */
    suspend fun serveLinks(serve: MessageHandler): LinkServer =
        Program.listeningOn(settings.links) {
            LinkServer.listen(settings.name, settings.links, bounds = LINK_BOUNDS, serve = serve)
        }

    /** The planned stop of this process, which takes the grace period less [STOP_RESERVE] at most. */
    val plannedStop = PlannedStop(::stopTimeout)

    /** Runs [steps] when the platform requests the process to stop. */
    fun onStop(steps: suspend () -> Unit) = Stop.onTerminationSignal(::stopTimeout) { plannedStop.run(steps) }

    private fun stopTimeout(): Duration = bounds.gracePeriod - STOP_RESERVE

    companion object {
        private const val METRICS_PATH = "/metrics"

        /** The customary port of OpenTelemetry exporters. No other process of a host listens on it. */
        private const val DEFAULT_METRICS_PORT = 9464
        private val PORTS = 1..65_535

        /**
         * A daemon serves callers within two seconds of its start. Setting up the meters of the JVM would take
         * processor time from that.
         */
        private val METRICS_START_DELAY = 5.seconds

        /** Sufficient for the one or two scrapers that read the metrics. */
        private val METRICS_HTTP_LIMITS = HttpLimits(requests = 4, connections = 8)

        /** The part of the grace period that is kept free to write the last log lines before the process is killed. */
        private val STOP_RESERVE = 300.milliseconds

        /**
         * With exchanges in progress, a lost peer is detected within 1.5 s, half of the time that callers wait for a
         * turn. Links without exchanges are numerous, so their heartbeats are only frequent enough to close those
         * to lost peers eventually.
         */
        private val LINK_BOUNDS =
            LinkBounds(
                handshakeTimeout = 1.seconds,
                activePingInterval = 400.milliseconds,
                activeReceiveTimeout = 1500.milliseconds,
                idlePingInterval = 20.seconds,
                idleReceiveTimeout = 60.seconds,
                unusedTimeout = 15.seconds,
                write = 2.seconds,
            )

        /**
         * Returns the port for metrics from the command line [args] of the binary [name], or exits the process if it is
         * invalid. A daemon calls this first, so that a SIGHUP during its start does not end it.
         */
        fun metricsPort(
            name: String,
            args: Array<String>,
        ): Int {
            ReloadSignal.handle()
            val parser = Program.parser(name, args)
            val port by parser
                .option(ArgType.Int, "metrics-port", "m", "port at which metrics are read")
                .default(DEFAULT_METRICS_PORT)
            parser.parse(args)
            if (port !in PORTS) Program.fail(Program.EXIT_MISUSE, "$name: expected a port in $PORTS, found $port")
            return port
        }

        /** Reads the settings of the binary [name]. If they are invalid, exits the process and prints all findings. */
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
