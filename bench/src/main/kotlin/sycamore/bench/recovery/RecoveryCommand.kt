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

/**
 * `sycamore-bench recovery`: measures in virtual time the latency of calls and the duration of takeovers.
 *
 * Latencies are compared between homes that send their records to retainers and homes that only commit them.
 */
internal class RecoveryCommand : Subcommand("recovery", "Latency of commits, takeover times, repeated work") {
    private val trials by option(ArgType.Int, "trials", description = "trials per figure").default(DEFAULT_TRIALS)

    override fun execute() {
        println("latency of a call, median of $trials trials, by latency of the key-value service")
        SERVICE_DELAYS.forEach { delay -> println(callLatencies(delay)) }
        println("home killed 300 ms after its engine has answered, while the service takes 1 s")
        println(killAfterAnswer(RETAINERS))
        println(killAfterAnswer(NO_RETAINERS))
        println("time from the death of the home to the end of the call, by point")
        FailurePoint.entries.forEach { println(takeoverTimes(it)) }
        println("segments written")
        BACKGROUND_PROGRAMS.forEach { println(segmentWrites(it)) }
    }

    private fun callLatencies(delay: Duration): String {
        val cells =
            ProbedCall.entries.flatMap { probed ->
                listOf(RETAINERS, NO_RETAINERS).map { retainers ->
                    val name = if (retainers == RETAINERS) "retained" else "commit-only"
                    "$probed $name ${medianLatency(probed, retainers, delay)}"
                }
            }
        return "recovery: service=$delay " + cells.joinToString(", ")
    }

    private fun medianLatency(
        probed: ProbedCall,
        retainers: Int,
        delay: Duration,
    ): Duration? =
        List(trials) { seed ->
            val trial =
                Trial(seed.toLong(), probed, retainers) { point, _ ->
                    if (point == FailurePoint.CALL_SENT) setFaults(KeyValueFaults(delay = delay))
                }
            trial.run(TRIAL_LENGTH).caller.latencies[PROBED_TURN]
        }.median()

    private fun killAfterAnswer(retainers: Int): String {
        val results =
            List(trials) { seed ->
                Trial(seed.toLong(), ProbedCall.CHAT, retainers) { point, _ ->
                    if (point == FailurePoint.CALL_SENT) setFaults(KeyValueFaults(delay = SLOW_SERVICE_DELAY))
                    if (point == FailurePoint.UPSTREAM_FINISHED) {
                        runAfter(KILL_DELAY) { kill(caller.program!!.origin.host, DOWNTIME) }
                    }
                }.run(TRIAL_LENGTH)
            }
        val runs = results.sumOf { result -> result.history.events.count { it is EngineStarted } - TURNS }
        val answered = results.sumOf { result -> result.history.events.count { it is CallAnswered } }
        val median = results.map { it.caller.latencies[PROBED_TURN] }.median()
        return "recovery: retainers=$retainers answered=$answered of ${trials * TURNS} run_again=$runs latency=$median"
    }

    private fun takeoverTimes(point: FailurePoint): String {
        var killedAt = Duration.ZERO
        val times =
            ProbedCall.entries.map { probed ->
                val answerTimes =
                    List(trials) { seed ->
                        val trial =
                            Trial(seed.toLong(), probed) { reached, _ ->
                                if (reached == point) {
                                    killedAt = now
                                    kill(caller.program!!.origin.host, DOWNTIME)
                                }
                            }
                        val events = trial.run(TRIAL_LENGTH).history.events
                        val answer = events.filterIsInstance<CallAnswered>().firstOrNull { it.turn == PROBED_TURN }
                        answer?.let { it.at - killedAt }
                    }
                "$probed answered=${answerTimes.count { it != null }} median=${answerTimes.median()}"
            }
        return "recovery: point=$point " + times.joinToString(", ")
    }

    private fun segmentWrites(others: Int): String {
        val result = Trial(seed = 0, ProbedCall.CHAT, backgroundPrograms = others) { _, _ -> }.run(TRIAL_LENGTH)
        val answers = result.history.events.filterIsInstance<CallAnswered>()
        val length = answers.maxOf { it.at } - answers.minOf { it.at }
        val calls = answers.size / length.inWholeMilliseconds.coerceAtLeast(1).toDouble() * MILLIS_PER_SECOND
        return "recovery: programs=${others + 1} calls=${answers.size} calls_per_s=${calls.toInt()} " +
            "segments=${result.segments}"
    }

    private fun List<Duration?>.median(): Duration? = filterNotNull().sorted().let { it.getOrNull(it.size / 2) }

    private companion object {
        const val DEFAULT_TRIALS = 9
        const val RETAINERS = 3
        const val NO_RETAINERS = 0
        const val TURNS = 3
        const val PROBED_TURN = 2
        const val MILLIS_PER_SECOND = 1_000
        val SERVICE_DELAYS = listOf(2.milliseconds, 20.milliseconds, 200.milliseconds, 1.seconds)
        val BACKGROUND_PROGRAMS = listOf(0, 9, 99)
        val SLOW_SERVICE_DELAY = 1.seconds
        val KILL_DELAY = 300.milliseconds
        val DOWNTIME = 60.seconds
        val TRIAL_LENGTH = 30.seconds
    }
}
