package sycamore.decisions.turns

import sycamore.decisions.pace.LearnedPace
import sycamore.decisions.pace.TypicalPace
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Load of an engine that is a candidate for a turn.
 *
 * @property distance distance from the caller's place to the engine.
 * @property wait expected time until a new turn would start.
 * @property turns number of turns at the engine and in its queue.
 * @property pace learned pace of the engine; null if it is not known.
 */
data class EngineLoad<T>(
    val engine: T,
    val distance: Distance,
    val wait: Duration,
    val turns: Int,
    val pace: LearnedPace? = null,
)

/** Choice of the engine for a new program. */
object EnginePlacement {
    /**
     * Number of engines of one distance that are compared. Two or three give nearly as good a choice as all, for two or
     * three messages.
     */
    const val SAMPLE_SIZE = 3

    /**
     * Number of engines that are asked at once when none is known to accept turns, as after a power failure. More than
     * [SAMPLE_SIZE], since most of them may still be starting.
     */
    const val UNRESPONSIVE_SAMPLE_SIZE = 8

    /**
     * The engine of [loads] at which a turn is expected to end first, with the cost of the distance added. If the
     * [typical] pace of the service's engines is known, each engine's own pace counts.
     */
    fun <T> best(
        loads: Collection<EngineLoad<T>>,
        typical: TypicalPace? = null,
    ): EngineLoad<T>? = loads.minByOrNull { cost(it, typical) }

    /** Whether no engine of [typical] pace at the distance [next] can be expected to be better than [best]. */
    fun isGoodEnough(
        best: EngineLoad<*>,
        next: Distance,
        typical: TypicalPace? = null,
    ): Boolean = cost(best, typical) <= distanceCost(next)

    private fun cost(
        load: EngineLoad<*>,
        typical: TypicalPace?,
    ): Duration = load.wait + distanceCost(load.distance) + COST_PER_TURN * load.turns + paceCost(load, typical)

    /** The time that a turn takes longer at the engine than at a typical one; negative if it takes less. */
    private fun paceCost(
        load: EngineLoad<*>,
        typical: TypicalPace?,
    ): Duration {
        if (typical == null) return Duration.ZERO
        val tokens = typical.pace.tokens
        val others = load.turns.toDouble()
        val entry = if (typical.isNewcomer(load.pace)) ENTRY_COST * load.turns else Duration.ZERO
        return entry + typical.expected(load.pace).turnTime(0, tokens, others) -
            typical.pace.turnTime(0, tokens, others)
    }

    /** The cost of a distance as time: the round trip, and the bytes that are billed. */
    internal fun distanceCost(distance: Distance): Duration =
        when (distance) {
            Distance.SAME_PLACE -> Duration.ZERO
            Distance.SAME_REGION -> OTHER_PLACE_COST
            Distance.OTHER_REGION -> OTHER_REGION_COST
        }

    /** Cost of the bytes between places, which are billed; the round trip itself takes 1 to 2 ms. */
    private val OTHER_PLACE_COST = 40.milliseconds

    /** Cost of the same bytes, and of a round trip of 24 ms. */
    private val OTHER_REGION_COST = 60.milliseconds

    /** Time that each turn at an engine adds to another turn there. */
    private val COST_PER_TURN = 6.milliseconds

    /** What each turn at a new engine adds until the engine has shown that it answers turns. */
    private val ENTRY_COST = 40.milliseconds
}
