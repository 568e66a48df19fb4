@file:OptIn(ExperimentalCli::class)

package sycamore.bench.spread

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds

/** `sycamore-bench spread`: measures how fast and at what cost a configuration takes effect in all daemons. */
internal class SpreadCommand : Subcommand("spread", "Measure how a configuration takes effect everywhere") {
    private val daemons by option(ArgType.String, "daemons", description = "Numbers of daemons").default("3,30,100")
    private val places by option(ArgType.Int, "places", description = "Number of places").default(3)
    private val port by option(ArgType.Int, "port", description = "First port of the daemons' links").default(24_100)
    private val idle by option(ArgType.Int, "idle", description = "Seconds without changes").default(60)

    override fun execute() {
        for (count in daemons.split(',').map { it.trim().toInt() }) {
            val run = SpreadRun(count, places, port, idle.seconds)
            println(runBlocking(Dispatchers.Default) { run.measure() })
        }
    }
}
