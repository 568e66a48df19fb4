@file:OptIn(ExperimentalCli::class)

package sycamore.bench.policy

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import sycamore.daemon.Program
import java.io.File
import kotlin.time.Duration.Companion.minutes

/** Compares the system's decisions with baseline policies on the same arrivals. */
internal class PolicyCommand : Subcommand("policy", "Measure placement, queueing and eviction against baselines") {
    private val seed by option(ArgType.Int, "seed", description = "Seed of the arrivals").default(1)
    private val users by option(ArgType.String, "users", description = "falgverket or kumasi").default("falgverket")
    private val load by option(ArgType.Double, "load", description = "Share of the engines' capacity").default(0.9)
    private val faults by option(ArgType.String, "faults", description = "none, gaps or crash").default("none")
    private val minutes by option(ArgType.Int, "minutes", description = "Virtual minutes of arrivals").default(15)
    private val only by option(ArgType.String, "only", description = "Measure this policy alone, without ratios")
    private val report by option(ArgType.String, "report", description = "Directory for the CSV file and the plots")

    override fun execute() {
        val fleet = PolicyFleet.all[users] ?: misuse("users", PolicyFleet.all.keys, users)
        val fault = PolicyFaults.entries.firstOrNull { it.name.equals(faults, ignoreCase = true) }
        val chosen = fault ?: misuse("faults", PolicyFaults.entries.map { it.name.lowercase() }, faults)
        val comparison = PolicyComparison(fleet, seed.toLong(), minutes.minutes, chosen)
        only?.let { name -> return println(PolicyText.describe(comparison.run(policyKind(name), load))) }
        val results = comparison.run(load)
        results.forEach { println(PolicyText.describe(it)) }
        results
            .filterNot { it.isStable }
            .forEach { println("${it.name}: past saturation at load $load; ${comparison.stableLoad(it.name, load)}") }
        report?.let { PolicyReport(File(it)).write(results, "$users, load $load, seed $seed, faults $faults") }
        println(PolicyText.ratios(results))
    }

    private fun policyKind(name: String): PolicyKind =
        PolicyKind.entries.firstOrNull { it.text == name } ?: misuse("only", PolicyKind.entries.map { it.text }, name)

    private fun misuse(
        option: String,
        expected: Collection<String>,
        found: String,
    ): Nothing =
        Program.fail(Program.EXIT_MISUSE, "expected one of ${expected.joinToString()} as --$option, found $found")
}
