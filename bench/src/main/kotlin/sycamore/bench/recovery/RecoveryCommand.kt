@file:OptIn(ExperimentalCli::class)

package sycamore.bench.recovery

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import sycamore.bench.history.CallAnswered
import sycamore.bench.history.EngineStarted
import sycamore.standins.KeyValueFaults
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Measures, in virtual time, what commits and takeovers cost with retained records and with commits alone. */
internal class RecoveryCommand : Subcommand("recovery", "Latency of commits, takeover times, repeated work") {
    private val trials by option(ArgType.Int, "trials", description = "trials per figure").default(DEFAULT_TRIALS)

    override fun execute() {
        println("latency of a call, median of $trials trials, by latency of the key-value service")
        DELAYS.forEach { delay -> println(latencies(delay)) }
        println("home killed 300 ms after its engine has answered, while the service takes 1 s")
        println(lateDeath(RETAINED))
        println(lateDeath(COMMIT_ONLY))
        println("time from the death of the home to the end of the call, by point")
        FailurePoint.entries.forEach { println(takeover(it)) }
        println("segments written")
        OTHERS.forEach { println(writes(it)) }
    }

    private fun latencies(delay: Duration): String {
        val cells =
            ProbedCall.entries.flatMap { probed ->
                listOf(RETAINED, COMMIT_ONLY).map { retainers ->
                    val name = if (retainers == RETAINED) "retained" else "commit-only"
                    "$probed $name ${median(probed, retainers, delay)}"
                }
            }
        return "recovery: service=$delay " + cells.joinToString(", ")
    }

    private fun median(
        probed: ProbedCall,
        retainers: Int,
        delay: Duration,
    ): Duration? =
        List(trials) { seed ->
            val trial =
                Trial(seed.toLong(), probed, retainers) { point, _ ->
                    if (point == FailurePoint.CALL_SENT) switch(KeyValueFaults(delay = delay))
                }
            trial.run(LENGTH).caller.latencies[PROBED_TURN]
        }.median()

    private fun lateDeath(retainers: Int): String {
        val results =
            List(trials) { seed ->
                Trial(seed.toLong(), ProbedCall.CHAT, retainers) { point, _ ->
                    if (point == FailurePoint.CALL_SENT) switch(KeyValueFaults(delay = SLOW))
                    if (point == FailurePoint.UPSTREAM_FINISHED) {
                        after(LATE) { kill(caller.program!!.origin.host, AWAY) }
                    }
                }.run(LENGTH)
            }
        val runs = results.sumOf { result -> result.history.events.count { it is EngineStarted } - TURNS }
        val answered = results.sumOf { result -> result.history.events.count { it is CallAnswered } }
        val median = results.map { it.caller.latencies[PROBED_TURN] }.median()
        return "recovery: retainers=$retainers answered=$answered of ${trials * TURNS} run_again=$runs latency=$median"
    }

    private fun takeover(point: FailurePoint): String {
        var died = Duration.ZERO
        val times =
            ProbedCall.entries.map { probed ->
                val each =
                    List(trials) { seed ->
                        val trial =
                            Trial(seed.toLong(), probed) { reached, _ ->
                                if (reached == point) {
                                    died = now
                                    kill(caller.program!!.origin.host, AWAY)
                                }
                            }
                        val events = trial.run(LENGTH).history.events
                        val answer = events.filterIsInstance<CallAnswered>().firstOrNull { it.turn == PROBED_TURN }
                        answer?.let { it.at - died }
                    }
                "$probed answered=${each.count { it != null }} median=${each.median()}"
            }
        return "recovery: point=$point " + times.joinToString(", ")
    }

    private fun writes(others: Int): String {
        val result = Trial(seed = 0, ProbedCall.CHAT, others = others) { _, _ -> }.run(LENGTH)
        val answers = result.history.events.filterIsInstance<CallAnswered>()
        val length = answers.maxOf { it.at } - answers.minOf { it.at }
        val calls = answers.size / length.inWholeMilliseconds.coerceAtLeast(1).toDouble() * MILLIS
        return "recovery: programs=${others + 1} calls=${answers.size} calls_per_s=${calls.toInt()} " +
            "segments=${result.segments}"
    }

    private fun List<Duration?>.median(): Duration? = filterNotNull().sorted().let { it.getOrNull(it.size / 2) }

    private companion object {
        const val DEFAULT_TRIALS = 9
        const val RETAINED = 3
        const val COMMIT_ONLY = 0
        const val TURNS = 3
        const val PROBED_TURN = 2
        const val MILLIS = 1_000
        val DELAYS = listOf(2.milliseconds, 20.milliseconds, 200.milliseconds, 1.seconds)
        val OTHERS = listOf(0, 9, 99)
        val SLOW = 1.seconds
        val LATE = 300.milliseconds
        val AWAY = 60.seconds
        val LENGTH = 30.seconds
    }
}
