package sycamore.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.daemon.Http
import sycamore.daemon.Program
import sycamore.forwarding.CallerServer
import sycamore.forwarding.PlatformDaemon
import sycamore.forwarding.UpstreamClient
import kotlin.time.Duration.Companion.seconds

/** Runs the gateway daemon, which accepts the requests of callers. */
fun main(args: Array<String>) {
    val metricsPort = PlatformDaemon.metricsPort("sycamore-gateway", args)
    val settings = PlatformDaemon.settings("sycamore-gateway")
    val callers = settings.callers ?: Program.fail(Program.EXIT_MISUSE, "expected an address for callers, found none")
    val readinessAddress =
        settings.readinessAddress ?: Program.fail(Program.EXIT_MISUSE, "expected an address for readiness, found none")
    Program.runDaemon("sycamore-gateway") {
        val listener = CallerServer.listen(callers)
        val runtime = PlatformDaemon(settings)
        val registry = runtime.metrics.registry
        val client = UpstreamClient(registry)
        val gateway = Gateway(settings, runtime.keyValue, runtime.links::exchange, client::exchange, registry)
        launch { gateway.run() }
        launch { runtime.serveMetrics(metricsPort) }
        val server = CallerServer(listener, gateway::limits, Dispatchers.Default, gateway::serve).start()
        var isLeaving = false
        Http.serve(
            readinessAddress,
            { _: Request ->
                Response(if (gateway.isReady && !isLeaving) Status.OK else Status.SERVICE_UNAVAILABLE)
            },
        )
        runtime.onStop {
            isLeaving = true
            server.isDraining = true
            delay(ROTATION_EXIT_DELAY)
            server.drain()
        }
        awaitCancellation()
    }
}

/**
 * The time until the platform sends no new callers to this gateway. It checks the readiness once a second, and takes a
 * gateway out of rotation after two checks in a row that did not succeed.
 */
private val ROTATION_EXIT_DELAY = 2.5.seconds
