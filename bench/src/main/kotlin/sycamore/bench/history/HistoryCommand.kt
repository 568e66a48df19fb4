package sycamore.bench.history

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import sycamore.daemon.Program
import sycamore.programs.Outcome
import kotlin.time.Duration.Companion.seconds

/** `sycamore-bench history`: runs callers against a fleet under faults and checks the ten invariants. */
@OptIn(ExperimentalCli::class)
internal class HistoryCommand : Subcommand("history", "Check the invariants on a recorded run under faults") {
    private val seed by option(ArgType.Int, "seed", description = "Seed of the run").default(1)
    private val length by option(
        ArgType.Int,
        "seconds",
        description = "Virtual seconds under faults",
    ).default(DEFAULT_SECONDS)
    private val faults by option(ArgType.String, "faults", description = "all, none, or names: $names").default("all")
    private val broken by option(ArgType.String, "break", description = "all: violate each invariant on purpose")

    private val trace by option(ArgType.Boolean, "trace", description = "Show why calls were refused").default(false)

    override fun execute() {
        val result =
            HistoryRun(
                seed.toLong(),
                length.seconds,
                kinds(),
            ).run { System.err.println("history: $it passed") }
        if (broken == null) report(result) else reportBroken(result.history)
    }

    private fun kinds(): List<FaultKind> =
        when (faults) {
            "all" -> FaultKind.entries
            "none" -> emptyList()
            else -> faults.split(',').map { FaultKind.parse(it) ?: misuse(it) }
        }

    private fun misuse(found: String): Nothing =
        Program.fail(Program.EXIT_MISUSE, "expected --faults all, none or names out of $names, found '$found'")

    private fun report(result: HistoryRun.Result) {
        val history = result.history
        val violations = check(history)
        violations.take(MAX_SHOWN).forEach(::println)
        result.failures.take(MAX_SHOWN).forEach { println("uncaught: ${it.stackTraceToString()}") }
        if (trace) showRefusals(history)
        println(Invariant.entries.joinToString(" ") { "$it=${violations.count { v -> v.invariant == it }}" })
        println(
            "history: calls=${history.firstAttempts.size} answered=${history.answered.size} faults=${result.faults} " +
                "unknown=${history.refused.count { it.outcome == Outcome.UNKNOWN }} " +
                "not_run=${history.refused.count { it.outcome == Outcome.NOT_RUN }} " +
                "violations=${violations.size + result.failures.size}",
        )
        if (violations.isNotEmpty() ||
            result.failures.isNotEmpty()
        ) {
            Program.fail(Program.EXIT_FAILED, "invariants were violated")
        }
    }

    private fun showRefusals(history: History) {
        history.events.filter { it is FaultBegan || it is FaultEnded || it is StopBegan || it is StopEnded }.forEach(
            ::println,
        )
        history.refused.filter { it.outcome == Outcome.UNKNOWN }.forEach { refusal ->
            println("unknown:")
            history.eventsOf(refusal.call).forEach { println("    $it") }
            val from = history.firstAttempts.getValue(refusal.call).at
            history.faultsWithin(from, refusal.at).forEach { println("    $it") }
        }
        history.refused
            .groupingBy { "${it.outcome.text}: ${it.detail.replace(idPattern, "#")}" }
            .eachCount()
            .forEach { (why, count) -> println("$count $why") }
    }

    private fun reportBroken(history: History) {
        val detected = Invariant.entries.count { isDetected(it, history) }
        println("history: caught=$detected/${Invariant.entries.size}")
        if (detected < Invariant.entries.size) Program.fail(Program.EXIT_FAILED, "a check missed a violation")
    }

    private fun isDetected(
        invariant: Invariant,
        history: History,
    ): Boolean {
        val changed = violationInjectors.getValue(invariant)(history.events)
        val before = invariant.check(history).size
        val after = if (changed == null) before else invariant.check(History(changed)).size
        println("$invariant: ${if (changed == null) "no event to change" else "$before before, $after after"}")
        return after > before
    }

    private companion object {
        const val DEFAULT_SECONDS = 120
        const val MAX_SHOWN = 5
        val idPattern = Regex("[0-9a-f]{12,}|[0-9]+")
        val names = FaultKind.entries.joinToString(",") { it.text }
    }
}
