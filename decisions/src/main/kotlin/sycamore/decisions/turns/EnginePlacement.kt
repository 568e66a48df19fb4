package sycamore.decisions.turns

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An engine that could take a turn.
 *
 * @property wait time until a new turn would begin.
 * @property turns at the engine and in its queue.
 */
data class EngineLoad<T>(
    val engine: T,
    val distance: Distance,
    val wait: Duration,
    val turns: Int,
)

/** Which engine a new program goes to. */
object EnginePlacement {
    /** Engines of one distance that are compared. Two or three are nearly as good as all, and cost as many messages. */
    const val SAMPLE = 3

    /** The engine of [loads] that a turn is expected to end at first, with what the way there costs. */
    fun <T> best(loads: Collection<EngineLoad<T>>): EngineLoad<T>? = loads.minByOrNull(::cost)

    /** Whether no engine at [next] can be expected to be better than [best]. */
    fun isGoodEnough(
        best: EngineLoad<*>,
        next: Distance,
    ): Boolean = cost(best) <= wayTo(next)

    private fun cost(load: EngineLoad<*>): Duration = load.wait + wayTo(load.distance) + EACH_TURN * load.turns

    /** What the way costs in time: the way there and back, and bytes that are paid for. */
    private fun wayTo(distance: Distance): Duration =
        when (distance) {
            Distance.SAME_PLACE -> Duration.ZERO
            Distance.SAME_REGION -> OTHER_PLACE
            Distance.OTHER_REGION -> OTHER_REGION
        }

    /** Bytes between places are paid for; the way itself takes a millisecond or two. */
    private val OTHER_PLACE = 40.milliseconds

    /** The same bytes, and 24 ms for the way there and back. */
    private val OTHER_REGION = 60.milliseconds

    /** What each turn at an engine adds to the time of another. */
    private val EACH_TURN = 6.milliseconds
}
