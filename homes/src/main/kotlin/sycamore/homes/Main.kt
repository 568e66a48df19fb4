package sycamore.homes

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import sycamore.daemon.Program
import sycamore.forwarding.PlatformDaemon
import sycamore.forwarding.UpstreamClient

/** Runs the home daemon on the host of an engine. */
fun main(args: Array<String>) {
    val metricsPort = PlatformDaemon.metricsPort("sycamore-home", args)
    val settings = PlatformDaemon.settings("sycamore-home")
    Program.runDaemon("sycamore-home") {
        val runtime = PlatformDaemon(settings)
        val registry = runtime.metrics.registry
        val daemon =
            HomeDaemon(
                settings,
                runtime.keyValue,
                runtime.links::exchange,
                UpstreamClient(registry)::exchange,
                registry,
                coroutineContext,
            )
        runtime.serveLinks(daemon::serve)
        launch { daemon.run() }
        launch { runtime.serveMetrics(metricsPort) }
        runtime.onStop { daemon.stop(runtime.plannedStop.timeLeft) }
        awaitCancellation()
    }
}
