@file:OptIn(ExperimentalCli::class)

package sycamore.bench.policy

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import sycamore.decisions.Network
import sycamore.decisions.Placement
import sycamore.decisions.PlacementRequest
import sycamore.decisions.Placer
import sycamore.decisions.ServedCall
import sycamore.decisions.UpstreamLimits
import sycamore.decisions.UpstreamState
import sycamore.host.GateQueue
import sycamore.host.GateRules
import sycamore.host.QueueResult
import sycamore.host.QueuedCall
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.HostName
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.Weights
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Measures the time of one decision for several numbers of upstreams and programs. */
internal class DecisionCostCommand : Subcommand("decision-cost", "Measure the time that a placement and a turn take") {
    private val rounds by option(ArgType.Int, "rounds", description = "Decisions per measurement").default(20_000)

    override fun execute() {
        for (count in listOf(10, 100, 1_000)) printFigures("placement upstreams=$count", measurePlacements(count))
        for (programs in listOf(500, 5_000)) printFigures("gate programs=$programs", measureGateTurns(programs))
    }

    private fun printFigures(
        what: String,
        histogram: Histogram,
    ) = println(
        "$what mean_ns=${histogram.mean.toLong()} p50_ns=${histogram.getValueAtPercentile(50.0)} " +
            "p99_ns=${histogram.getValueAtPercentile(99.0)}",
    )

    private fun measurePlacements(count: Int): Histogram {
        val random = Random(1)
        val places = List(12) { Place(PlaceName("p$it"), RegionName("r${it % 5}")) }
        val placer = Placer(Network(places, emptyList()), Weights())
        val states =
            List(count) {
                val wait = random.nextInt(2_000).milliseconds
                UpstreamState(HostName("h$it"), places[it % 12].name, 32, wait = wait, memoryTokens = 400_000)
            }
        val request = PlacementRequest(places[0].name, newTokens = 900, turns = 6.0, bytesPerTurn = 2_500)
        return measureDecision { check(placer.place(request, states) is Placement.Chosen) }
    }

    private fun measureGateTurns(programs: Int): Histogram {
        val queue = GateQueue(GateRules(UpstreamLimits(CAPACITY, MEMORY_TOKENS)), TimeSource.Monotonic)
        repeat(programs) { runTurn(queue, "p$it", "first$it") }
        var i = 0
        return measureDecision { runTurn(queue, "p${i++ % programs}", "turn$i") }
    }

    private fun runTurn(
        queue: GateQueue,
        program: String,
        id: String,
    ) = runBlocking {
        val call = QueuedCall(CallId(id), program, program, CallerName("c"), PROMPT_TOKENS, 100, false, 1.hours)
        val turn = queue.admit(call) as QueueResult.Granted
        turn.ticket.close(ServedCall(10, PROMPT_TOKENS, 100, 10.milliseconds, 100.milliseconds))
    }

    private fun measureDecision(decide: () -> Unit): Histogram {
        repeat(rounds) { decide() }
        val histogram = Histogram(MAX_RECORDED_NANOS, 3)
        repeat(rounds) {
            val start = TimeSource.Monotonic.markNow()
            decide()
            val elapsed: Duration = start.elapsedNow()
            histogram.recordValue(elapsed.inWholeNanoseconds.coerceIn(1, MAX_RECORDED_NANOS))
        }
        return histogram
    }

    private companion object {
        const val CAPACITY = 32
        const val MEMORY_TOKENS = 6_000_000L
        const val PROMPT_TOKENS = 1_000L
        const val MAX_RECORDED_NANOS = 10_000_000_000L
    }
}
