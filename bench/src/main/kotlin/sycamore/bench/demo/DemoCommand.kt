@file:OptIn(ExperimentalCli::class)

package sycamore.bench.demo

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import sycamore.daemon.Http
import sycamore.daemon.Program
import java.io.File
import java.util.Locale
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** `sycamore-bench demo`: runs the demo's programs on two running fleets, which `bin/demo` starts and stops. */
internal class DemoCommand : Subcommand("demo", "Run programs on two running fleets and check their answers") {
    private val falgverket by argument(ArgType.String, description = "Directory of the fleet with conf/services")
    private val kumasi by argument(ArgType.String, description = "Directory of the fleet with conf/kumasi")

    override fun execute() {
        val start = TimeSource.Monotonic.markNow()
        val deployments = listOf(Deployment.falgverket(File(falgverket)), Deployment.kumasi(File(kumasi)))
        val run =
            DemoRun(deployments, Http.client()) { text ->
                val at = start.elapsedNow().toDouble(DurationUnit.SECONDS)
                println("%6.2f s  %s".format(Locale.ROOT, at, text))
            }
        val verdicts = runBlocking(Dispatchers.IO) { run.run() }
        val reports = verdicts.filterIsInstance<Verdict.Passed>().map { it.report }
        println("\n${DemoReport.programs(reports)}\n\n${DemoReport.memory(deployments)}\n")
        val findings = findings(run, verdicts, reports)
        if (findings.isNotEmpty()) Program.fail(Program.EXIT_FAILED, findings.joinToString("\n") { "demo: $it" })
        println(summary(run, deployments, reports))
    }

    private fun findings(
        run: DemoRun,
        verdicts: List<Verdict>,
        reports: List<ProgramReport>,
    ): List<String> {
        val failed = verdicts.filterIsInstance<Verdict.Failed>().map { "${it.name}: ${it.finding}" }
        val missingKill = if (run.programOfKilledHome == null) listOf("no home was killed") else emptyList()
        return failed + missingKill + run.salesNotRunOnce(reports)
    }

    private fun summary(
        run: DemoRun,
        deployments: List<Deployment>,
        reports: List<ProgramReport>,
    ): String {
        val turns = reports.sumOf { it.turns }
        val memory = DemoReport.largestDaemon(deployments)
        return "demo: ok programs=${reports.size} turns=$turns killed=${run.programOfKilledHome?.origin?.host} " +
            "repeats=${run.repeats} sales=${reports.size} largest-daemon-mib=$memory"
    }
}
