package sycamore.homes

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import sycamore.daemon.Program
import sycamore.forwarding.PlatformDaemon
import sycamore.forwarding.UpstreamClient

/** Runs the daemon beside an engine of the platform. */
fun main(args: Array<String>) {
    val metricsPort = PlatformDaemon.metricsPort("sycamore-home", args)
    val settings = PlatformDaemon.settings("sycamore-home")
    Program.runDaemon("sycamore-home") {
        val runtime = PlatformDaemon(settings)
        val registry = runtime.metrics.registry
        val daemon =
            HomeDaemon(
                settings,
                runtime.keys,
                runtime.links::exchange,
                UpstreamClient()::exchange,
                registry,
                coroutineContext,
            )
        runtime.serveLinks(daemon::serve)
        launch { daemon.run() }
        launch { runtime.serveMetrics(metricsPort) }
        runtime.onStop { daemon.stop() }
        awaitCancellation()
    }
}
