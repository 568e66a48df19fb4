package sycamore.retainer

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import sycamore.daemon.Program
import sycamore.daemon.Threads
import sycamore.forwarding.PlatformDaemon
import java.nio.file.Path

/** Runs the daemon on a host with a disk. */
fun main() {
    val settings = PlatformDaemon.settings("sycamore-retainer")
    val path =
        settings.dataFolder ?: Program.fail(Program.EXIT_MISUSE, "expected a data folder in the settings, found none")
    Program.daemon("sycamore-retainer") {
        val folder = RecordFolder(Path.of(path))
        val runtime = PlatformDaemon(settings)
        val daemon = RetainerDaemon(settings, folder, runtime.keys)
        launch(Threads.blocking) { folder.run() }
        runtime.serveLinks(daemon::serve)
        launch { daemon.register() }
        launch { daemon.followRetirements() }
        runtime.onStop {}
        awaitCancellation()
    }
}
