package sycamore.gateway

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import sycamore.daemon.Http
import sycamore.daemon.Program
import sycamore.forwarding.CallerServer
import sycamore.forwarding.EarlyStart
import sycamore.forwarding.PlatformDaemon
import sycamore.forwarding.UpstreamClient

/** Runs the gateway daemon, which accepts the requests of callers. */
fun main(args: Array<String>) {
    val early = EarlyStart.listen()
    val metricsPort = PlatformDaemon.metricsPort("sycamore-gateway", args)
    val settings = PlatformDaemon.settings("sycamore-gateway")
    val callers = settings.callers ?: Program.fail(Program.EXIT_MISUSE, "expected an address for callers, found none")
    val readinessAddress =
        settings.readinessAddress ?: Program.fail(Program.EXIT_MISUSE, "expected an address for readiness, found none")
    Program.runDaemon("sycamore-gateway") {
        val listener = EarlyStart.confirm(early, callers)
        val runtime = PlatformDaemon(settings)
        val registry = runtime.metrics.registry
        val client = UpstreamClient(registry)
        val stop = runtime.plannedStop
        val links = runtime.links
        val gateway =
            Gateway(settings, runtime.keyValue, links::exchange, client::exchange, registry, stop) { runtime.bounds }
        launch { gateway.run() }
        launch { runtime.serveMetrics(metricsPort) }
        val server = CallerServer(listener, gateway::limits, Dispatchers.Default, gateway::serve).start()
        Http.serve(
            readinessAddress,
            { _: Request ->
                Response(if (gateway.isReady && !stop.isBegun) Status.OK else Status.SERVICE_UNAVAILABLE)
            },
        )
        runtime.onStop { server.drain(stop) }
        awaitCancellation()
    }
}
