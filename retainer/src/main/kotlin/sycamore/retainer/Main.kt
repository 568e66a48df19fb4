package sycamore.retainer

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import sycamore.daemon.Program
import sycamore.forwarding.PlatformDaemon
import java.nio.file.Path

/** Runs the retainer daemon on a host with a disk. */
fun main(args: Array<String>) {
    val metricsPort = PlatformDaemon.metricsPort("sycamore-retainer", args)
    val settings = PlatformDaemon.settings("sycamore-retainer")
    val path =
        settings.dataDirectory
            ?: Program.fail(Program.EXIT_MISUSE, "expected a data folder in the settings, found none")
    Program.runDaemon("sycamore-retainer") {
        val runtime = PlatformDaemon(settings)
        RetainerDaemon.start(settings, Path.of(path), runtime, this)
        launch { runtime.serveMetrics(metricsPort) }
        runtime.onStop {}
        awaitCancellation()
    }
}
