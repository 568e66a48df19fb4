package sycamore.bench.policy

import sycamore.model.CallerName
import sycamore.model.PlaceName
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One turn of a program: a call, then sub-agents side by side, then a tool pause.
 *
 * @property newTokens prompt tokens beyond the history.
 */
internal data class TurnPlan(
    val newTokens: Int,
    val outputTokens: Int,
    val tool: String,
    val pause: Duration,
    val children: List<ProgramPlan>,
)

/** What a program will do. No policy sees it before it happens. */
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

/** Draws programs with heavy tails in turns, tokens and pauses. */
internal class Workload(
    private val fleet: PolicyFleet,
    seed: Long,
) {
    private val random = Random(seed)
    private val normal = random.asJavaRandom()

    /** Programs that arrive at random, [rate] per second on average, during [length]. */
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
        val count = if (isChild) draw(CHILD_TURNS, 0.7, MAX_CHILD_TURNS) else draw(TURNS, 1.0, MAX_TURNS)
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
        val forks = !isChild && random.nextDouble() < CHILDREN_SHARE
        val children = if (forks) 1 + random.nextInt(MAX_CHILDREN) else 0
        return TurnPlan(
            newTokens = if (index == 0) draw(FIRST_TOKENS, 1.0, MAX_TOKENS) else draw(NEW_TOKENS, 1.2, MAX_TOKENS),
            outputTokens = draw(OUTPUT_TOKENS, 0.8, MAX_OUTPUT),
            tool = tool.name,
            pause = tool.median * exp(normal.nextGaussian() * tool.sigma),
            children = List(children) { program("$id-$index-$it", arrival, isChild = true, caller, from) },
        )
    }

    /** A log-normal draw with [median], from 1 to [max]. */
    private fun draw(
        median: Double,
        sigma: Double,
        max: Int,
    ): Int = (median * exp(normal.nextGaussian() * sigma)).toInt().coerceIn(1, max)

    private fun caller(): CallerName {
        val index = if (random.nextDouble() < HEAVY_SHARE) 0 else 1 + random.nextInt(CALLERS - 1)
        return CallerName("caller-$index")
    }

    private class Tool(
        val name: String,
        val share: Double,
        val median: Duration,
        val sigma: Double,
    )

    private companion object {
        const val TURNS = 6.0
        const val MAX_TURNS = 190
        const val CHILD_TURNS = 3.0
        const val MAX_CHILD_TURNS = 20
        const val CHILDREN_SHARE = 0.05
        const val MAX_CHILDREN = 3
        const val FIRST_TOKENS = 800.0
        const val NEW_TOKENS = 250.0
        const val MAX_TOKENS = 8_000
        const val OUTPUT_TOKENS = 100.0
        const val MAX_OUTPUT = 1_500
        const val CALLERS = 6
        const val HEAVY_SHARE = 0.5

        /** [Tool.share] is the share among the tools from here on. */
        val tools =
            listOf(
                Tool("look-up", 0.7, 0.4.seconds, 0.7),
                Tool("book", 0.8, 2.seconds, 0.8),
                Tool("person", 1.0, 15.seconds, 0.8),
            )
    }
}
