package sycamore.rehearsal

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import sycamore.forwarding.PlatformDaemon
import java.nio.file.Files
import kotlin.system.exitProcess

/**
 * Runs a [Rehearsal] so that the JVM loads the classes that the daemons need, and can archive them for faster
 * starts. Exits with status 1 unless all turns and calls succeed.
 */
fun main(args: Array<String>) {
    // Otherwise the daemons' threads would keep the process running.
    Thread.currentThread().setUncaughtExceptionHandler { _, failure ->
        failure.printStackTrace()
        exitProcess(1)
    }
    // Loads the classes with which the daemons parse their command line. The port is not used here.
    PlatformDaemon.metricsPort("sycamore-rehearsal", args)
    val folder = Files.createTempDirectory("rehearsal")
    val result = runBlocking { Rehearsal(CoroutineScope(Dispatchers.Default + SupervisorJob()), folder).run(TURNS) }
    println("rehearsal: $result".take(MAX_LINE))
    folder.toFile().deleteRecursively()
    exitProcess(if (result.completeTurns == TURNS && result.completeCalls == TURNS) 0 else 1)
}

private const val TURNS = 20
private const val MAX_LINE = 200
