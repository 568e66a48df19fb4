@file:OptIn(ExperimentalCli::class)

package sycamore.bench.load

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import sycamore.bench.fleet.FleetLayout
import java.io.File
import kotlin.time.Duration.Companion.seconds

/**
 * `sycamore-bench load`: measures the latency and throughput that the system costs its callers.
 *
 * `bin/sycamore-bench` starts and stops the fleet.
 */
internal class LoadCommand : Subcommand("load", "Compare calls through the system with calls to its upstreams") {
    private val fleet by option(ArgType.String, "fleet", description = "Directory of a running fleet").required()
    private val seconds by option(ArgType.Int, "seconds", description = "Length of the whole run").default(60)
    private val turns by option(ArgType.Int, "turns", description = "Calls of each program").default(4)
    private val inFlight by option(ArgType.Int, "in-flight", description = "Programs at the highest rate").default(64)
    private val rounds by option(ArgType.Int, "rounds", description = "Rounds, each with both sides").default(3)
    private val report by option(ArgType.String, "report", description = "Directory for the report")

    override fun execute() {
        val layout = FleetLayout.load(File(fleet))
        val plan = LoadPlan(seconds.seconds, inFlight, rounds)
        val shape = ProgramShape(turns, MODEL, MAX_ANSWER_TOKENS)
        val result = runBlocking(Dispatchers.Default) { LoadRun(layout, plan, shape, ::println).run() }
        report?.let { LoadReport(File(it)).write(result) }
        result.phases.forEach { phase ->
            phase.tally.errorsByKind.forEach { (kind, count) ->
                println("${phase.name} ${phase.side.text}: $count x $kind")
            }
        }
        println(LoadText.summary(result))
    }

    private companion object {
        const val MODEL = "wheel-7b"
        const val MAX_ANSWER_TOKENS = 8
    }
}
