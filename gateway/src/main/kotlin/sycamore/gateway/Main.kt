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

/** Runs the daemon that serves callers of the platform. */
fun main(args: Array<String>) {
    val metricsPort = PlatformDaemon.metricsPort("sycamore-gateway", args)
    val settings = PlatformDaemon.settings("sycamore-gateway")
    val callers = settings.callers ?: Program.fail(Program.EXIT_MISUSE, "expected an address for callers, found none")
    val readinessAddress =
        settings.readinessAddress ?: Program.fail(Program.EXIT_MISUSE, "expected an address for readiness, found none")
    Program.daemon("sycamore-gateway") {
        val runtime = PlatformDaemon(settings)
        val registry = runtime.metrics.registry
        val gateway = Gateway(settings, runtime.keys, runtime.links::exchange, UpstreamClient()::exchange, registry)
        launch { gateway.run() }
        launch { runtime.serveMetrics(metricsPort) }
        val server = CallerServer(callers, gateway::limits, Dispatchers.Default, gateway::serve).start()
        var isLeaving = false
        Http.serve(
            readinessAddress,
            { _: Request ->
                Response(if (gateway.isReady && !isLeaving) Status.OK else Status.SERVICE_UNAVAILABLE)
            },
        )
        runtime.onStop {
            isLeaving = true
            server.isLeaving = true
            delay(OUT_OF_ROTATION)
            server.leave()
        }
        awaitCancellation()
    }
}

/** The platform sends no new callers here after two questions without a good answer, one each second. */
private val OUT_OF_ROTATION = 2.5.seconds
