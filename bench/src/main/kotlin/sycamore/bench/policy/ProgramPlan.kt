package sycamore.bench.policy

import sycamore.model.CallerName
import sycamore.model.PlaceName
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One turn of a program: a call, then sub-agents that run in parallel, then a pause while a tool runs.
 *
 * @property newTokens the number of prompt tokens beyond the history.
 */
internal data class TurnPlan(
    val newTokens: Int,
    val outputTokens: Int,
    val tool: String,
    val pause: Duration,
    val children: List<ProgramPlan>,
)

/** The turns of a program, drawn before the run. Policies see a turn only when its call is made. */
internal data class ProgramPlan(
    val id: String,
    val caller: CallerName,
    val from: PlaceName,
    val arrival: Duration,
    val turns: List<TurnPlan>,
) {
    /** The program's own turns and those of its sub-agents. */
    val allTurns: Sequence<TurnPlan>
        get() =
            turns.asSequence().flatMap { turn ->
                sequenceOf(turn) +
                    turn.children.asSequence().flatMap { it.allTurns }
            }
}

/** Draws random programs. The distributions of their turns, tokens and pauses have heavy tails. */
internal class Workload(
    private val fleet: PolicyFleet,
    seed: Long,
) {
    private val random = Random(seed)
    private val normal = random.asJavaRandom()

    /** Draws programs that arrive at random, [rate] per second on average, during [length]. */
    fun programs(
        rate: Double,
        length: Duration,
    ): List<ProgramPlan> {
        val plans = ArrayList<ProgramPlan>()
        var at = Duration.ZERO
        while (true) {
            at += (-kotlin.math.ln(1 - random.nextDouble()) / rate).seconds
            if (at >= length) return plans
            plans += program("p${plans.size}", at, isChild = false, caller(), fleet.places.random(random).name)
        }
    }

    private fun program(
        id: String,
        arrival: Duration,
        isChild: Boolean,
        caller: CallerName,
        from: PlaceName,
    ): ProgramPlan {
        val count = if (isChild) draw(MEDIAN_CHILD_TURNS, 0.7, MAX_CHILD_TURNS) else draw(MEDIAN_TURNS, 1.0, MAX_TURNS)
        val turns = List(count) { turn(id, it, arrival, isChild, caller, from) }
        return ProgramPlan(id, caller, from, arrival, turns)
    }

    private fun turn(
        id: String,
        index: Int,
        arrival: Duration,
        isChild: Boolean,
        caller: CallerName,
        from: PlaceName,
    ): TurnPlan {
        val tool = tools.first { random.nextDouble() < it.share }
        val hasChildren = !isChild && random.nextDouble() < CHILDREN_SHARE
        val children = if (hasChildren) 1 + random.nextInt(MAX_CHILDREN) else 0
        return TurnPlan(
            newTokens =
                if (index == 0) draw(FIRST_TOKENS, 1.0, MAX_TOKENS) else draw(NEW_TOKENS, 1.2, MAX_TOKENS),
            outputTokens = draw(MEDIAN_OUTPUT_TOKENS, 0.8, MAX_OUTPUT_TOKENS),
            tool = tool.name,
            pause = tool.median * exp(normal.nextGaussian() * tool.sigma),
            children = List(children) { program("$id-$index-$it", arrival, isChild = true, caller, from) },
        )
    }

    /** Draws from a log-normal distribution with [median], limited to the range from 1 to [max]. */
    private fun draw(
        median: Double,
        sigma: Double,
        max: Int,
    ): Int = (median * exp(normal.nextGaussian() * sigma)).toInt().coerceIn(1, max)

    private fun caller(): CallerName {
        val index = if (random.nextDouble() < HEAVY_CALLER_SHARE) 0 else 1 + random.nextInt(CALLER_COUNT - 1)
        return CallerName("caller-$index")
    }

    private class Tool(
        val name: String,
        val share: Double,
        val median: Duration,
        val sigma: Double,
    )

    private companion object {
        const val MEDIAN_TURNS = 6.0
        const val MAX_TURNS = 190
        const val MEDIAN_CHILD_TURNS = 3.0
        const val MAX_CHILD_TURNS = 20
        const val CHILDREN_SHARE = 0.05
        const val MAX_CHILDREN = 3

        /** Median of the new tokens of a program's first turn. */
        const val FIRST_TOKENS = 800.0

        /** Median of the new tokens of the later turns. */
        const val NEW_TOKENS = 250.0
        const val MAX_TOKENS = 8_000
        const val MEDIAN_OUTPUT_TOKENS = 100.0
        const val MAX_OUTPUT_TOKENS = 1_500
        const val CALLER_COUNT = 6
        const val HEAVY_CALLER_SHARE = 0.5

        /** The tools in the order of drawing. [Tool.share] is the share among the tool itself and those after it. */
        val tools =
            listOf(
                Tool("look-up", 0.7, 0.4.seconds, 0.7),
                Tool("book", 0.8, 2.seconds, 0.8),
                Tool("person", 1.0, 15.seconds, 0.8),
            )
    }
}
