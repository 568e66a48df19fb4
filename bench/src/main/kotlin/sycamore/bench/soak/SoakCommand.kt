@file:OptIn(ExperimentalCli::class)

package sycamore.bench.soak

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import sycamore.bench.fleet.FleetLayout
import java.io.File
import kotlin.time.Duration.Companion.minutes

/** `sycamore-bench soak`: applies load to a fleet while `bin/sycamore-bench` restarts and kills its daemons. */
internal class SoakCommand : Subcommand("soak", "Load a fleet whose daemons are restarted and killed") {
    private val fleet by option(ArgType.String, "fleet", description = "Directory of a running fleet").required()
    private val minutes by option(ArgType.Double, "minutes", description = "Length of the run").default(10.0)
    private val rate by option(ArgType.Double, "rate", description = "Calls a second").default(40.0)
    private val report by option(ArgType.String, "report", description = "Directory for the report")

    override fun execute() {
        val run = SoakRun(FleetLayout.load(File(fleet)), rate, ::println)
        val result = runBlocking(Dispatchers.Default) { run.run(minutes.minutes) }
        report?.let { SoakReport(File(it)).write(result) }
        result.growth.forEach(::println)
        result.tally.errorsByKind.forEach { (kind, count) -> println("$count x $kind") }
        println(SoakReport.summary(result))
    }
}
